//! Seeded random numbers (xorshift).

#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// A number from `low` to `high`, both included.
    pub fn range(&mut self, low: u64, high: u64) -> u64 {
        low + (self.next() >> 11) % (high - low + 1)
    }

    pub fn chance(&mut self, share: f64) -> bool {
        ((self.next() >> 11) as f64) < share * (1_u64 << 53) as f64
    }

    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.range(0, items.len() as u64 - 1) as usize]
    }
}
