//! The one buffer that a connection has for each direction: small at first, grown on demand, up to a limit.

/// The first size that is allocated, and what is kept when all has been read.
const INITIAL_SIZE: usize = 2048;

/// A ring buffer of bytes.
pub struct Ring {
    buffer: Vec<u8>,
    head: usize,
    len: usize,
    /// The most bytes that it may hold.
    limit: usize,
}

impl Ring {
    /// An empty ring. It allocates nothing until it is used, and never more than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Ring {
            buffer: Vec::new(),
            head: 0,
            len: 0,
            limit,
        }
    }

    /// Raises the number of bytes that it may hold, if that is more than before.
    pub fn raise_limit(&mut self, limit: usize) {
        self.limit = self.limit.max(limit);
    }

    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether nothing more goes in before something is taken out.
    pub fn is_full(&self) -> bool {
        self.len >= self.limit
    }

    /// The next free bytes; none when it is full.
    pub fn free(&mut self) -> &mut [u8] {
        if self.len == self.buffer.len() {
            self.grow(self.len + 1);
        }
        let size = self.buffer.len();
        let tail = self.head + self.len;
        if tail < size {
            &mut self.buffer[tail..]
        } else {
            let tail = tail - size;
            &mut self.buffer[tail..self.head.max(tail)]
        }
    }

    /// Marks so many of the free bytes as written.
    pub fn filled(&mut self, n: usize) {
        self.len = (self.len + n).min(self.buffer.len());
    }

    /// The first bytes held that are contiguous.
    pub fn front(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.buffer.len());
        &self.buffer[self.head..end]
    }

    /// All bytes held, made contiguous.
    pub fn all(&mut self) -> &[u8] {
        if self.head + self.len > self.buffer.len() {
            self.buffer.rotate_left(self.head);
            self.head = 0;
        }
        self.front()
    }

    /// Drops so many of the first bytes, and the space of a large message once it is through.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.buffer.is_empty() {
            0
        } else {
            (self.head + n) % self.buffer.len()
        };
        if self.len == 0 {
            self.head = 0;
            if self.buffer.len() > INITIAL_SIZE {
                self.buffer = Vec::new();
            }
        }
    }

    /// Adds all of these bytes, or none of them where they would go beyond the limit. Returns whether they were added.
    #[must_use]
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        if self.len + bytes.len() > self.limit {
            return false;
        }
        self.grow(self.len + bytes.len());
        while !bytes.is_empty() {
            let free = self.free();
            let n = free.len().min(bytes.len());
            free[..n].copy_from_slice(&bytes[..n]);
            self.filled(n);
            bytes = &bytes[n..];
        }
        true
    }

    fn grow(&mut self, wanted: usize) {
        if wanted <= self.buffer.len() || self.buffer.len() >= self.limit {
            return;
        }
        let size = wanted.next_power_of_two().max(INITIAL_SIZE).min(self.limit);
        let mut bigger = Vec::with_capacity(size);
        bigger.extend_from_slice(self.all());
        bigger.resize(size, 0);
        self.buffer = bigger;
        self.head = 0;
    }
}
