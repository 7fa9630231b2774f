//! The ring buffer of each direction of a connection. It starts small and grows on demand up to a limit.

/// The initial allocation in bytes. A larger buffer is freed when it becomes empty.
const INITIAL_SIZE: usize = 2048;
/// A buffer grows by doubling up to this size, and then by a quarter: large ones would waste too much memory.
const MAX_DOUBLED_SIZE: usize = 16 * 1024;

/// A ring buffer of bytes.
pub struct Ring {
    buffer: Vec<u8>,
    head: usize,
    len: usize,
    /// The maximum number of bytes that it may hold.
    limit: usize,
}

impl Ring {
    /// Creates an empty buffer. It allocates nothing until it is used, and never more than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Ring {
            buffer: Vec::new(),
            head: 0,
            len: 0,
            limit,
        }
    }

    /// Raises the limit; a lower value is ignored.
    pub fn raise_limit(&mut self, limit: usize) {
        self.limit = self.limit.max(limit);
    }

    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// How many bytes are allocated.
    pub fn capacity(&self) -> usize {
        self.buffer.len()
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether it holds as many bytes as the limit allows.
    pub fn is_full(&self) -> bool {
        self.len >= self.limit
    }

    /// The contiguous free space after the last byte; empty when the buffer is full.
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

    /// Adds the first `n` bytes of [`Ring::free`] to the content, after the caller has written them.
    pub fn commit(&mut self, n: usize) {
        self.len = (self.len + n).min(self.buffer.len());
    }

    /// The content from its start, as far as it is contiguous in memory.
    pub fn front(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.buffer.len());
        &self.buffer[self.head..end]
    }

    /// The whole content, made contiguous.
    pub fn all(&mut self) -> &[u8] {
        if self.head + self.len > self.buffer.len() {
            self.buffer.rotate_left(self.head);
            self.head = 0;
        }
        self.front()
    }

    /// Removes the first `n` bytes. Frees a grown buffer when it becomes empty.
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

    /// Appends all of these bytes, or none if they would exceed the limit. Returns whether they were appended.
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
            self.commit(n);
            bytes = &bytes[n..];
        }
        true
    }

    fn grow(&mut self, wanted: usize) {
        if wanted <= self.buffer.len() || self.buffer.len() >= self.limit {
            return;
        }
        let size = if wanted <= MAX_DOUBLED_SIZE {
            wanted.next_power_of_two().max(INITIAL_SIZE)
        } else {
            let grown = self.buffer.len() + self.buffer.len() / 4;
            wanted.max(grown).next_multiple_of(MAX_DOUBLED_SIZE)
        };
        let size = size.min(self.limit);
        let mut bigger = Vec::with_capacity(size);
        bigger.extend_from_slice(self.all());
        bigger.resize(size, 0);
        self.buffer = bigger;
        self.head = 0;
    }
}
