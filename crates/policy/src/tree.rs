//! Segment tree over the available resources of workers.
//!
//! Each inner node holds the element-wise maximum of its children, so a search
//! skips every subtree in which some resource is too small. The search is exact:
//! it finds a worker whenever one fits.
//!
//! Invariant: node `i` is the element-wise maximum of nodes `2i` and `2i + 1`.

use model::Resources;

/// Index of a leaf, one per worker.
pub(crate) type Leaf = u32;

#[derive(Debug)]
pub(crate) struct ResourceTree {
    nodes: Vec<Resources>,
    width: usize,
}

impl ResourceTree {
    pub(crate) fn new() -> Self {
        Self {
            nodes: vec![Resources::ZERO; 2],
            width: 1,
        }
    }

    /// Grows the tree so that it has a leaf with index `leaf`.
    pub(crate) fn grow(&mut self, leaf: Leaf) {
        let new_width = (leaf as usize + 1).next_power_of_two();
        if new_width <= self.width {
            return;
        }
        let mut nodes = vec![Resources::ZERO; new_width * 2];
        nodes[new_width..new_width + self.width].copy_from_slice(&self.nodes[self.width..]);
        self.nodes = nodes;
        self.width = new_width;
        for i in (1..new_width).rev() {
            self.nodes[i] = self.nodes[2 * i].max(self.nodes[2 * i + 1]);
        }
    }

    /// Sets the available resources of one leaf and updates its ancestors.
    pub(crate) fn set(&mut self, leaf: Leaf, available: Resources) {
        let mut i = self.width + leaf as usize;
        self.nodes[i] = available;
        while i > 1 {
            i /= 2;
            let maximum = self.nodes[2 * i].max(self.nodes[2 * i + 1]);
            if self.nodes[i] == maximum {
                return;
            }
            self.nodes[i] = maximum;
        }
    }

    pub(crate) fn get(&self, leaf: Leaf) -> Resources {
        self.nodes[self.width + leaf as usize]
    }

    /// First leaf at or after `start` whose resources hold `demand`.
    pub(crate) fn find(&self, start: Leaf, demand: &Resources) -> Option<Leaf> {
        self.find_below(1, 0, self.width, start as usize, demand)
    }

    fn find_below(
        &self,
        node: usize,
        low: usize,
        high: usize,
        start: usize,
        demand: &Resources,
    ) -> Option<Leaf> {
        if high <= start || !demand.fits(&self.nodes[node]) {
            return None;
        }
        if high - low == 1 {
            return Leaf::try_from(low).ok();
        }
        let middle = low + (high - low) / 2;
        self.find_below(2 * node, low, middle, start, demand)
            .or_else(|| self.find_below(2 * node + 1, middle, high, start, demand))
    }

    /// Number of leaves for which the tree has room.
    pub(crate) fn width(&self) -> Leaf {
        Leaf::try_from(self.width).unwrap_or(Leaf::MAX)
    }

    /// Returns true if every inner node is the maximum of its children.
    pub(crate) fn is_consistent(&self) -> bool {
        (1..self.width).all(|i| self.nodes[i] == self.nodes[2 * i].max(self.nodes[2 * i + 1]))
    }
}
