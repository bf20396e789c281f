//! Commands of `greengagemast` as processes.

mod evacuations;
mod explain;
mod vm;
