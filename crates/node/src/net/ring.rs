//! The one buffer a connection has for each direction: small at first, grown on demand, capped.

/// The first size that is allotted, and what is kept when all has been read.
const FIRST: usize = 2048;

pub struct Ring {
    buf: Vec<u8>,
    head: usize,
    len: usize,
    cap: usize,
}

impl Ring {
    /// Allots nothing until it is used, and never more than `cap` bytes.
    pub fn new(cap: usize) -> Self {
        Ring {
            buf: Vec::new(),
            head: 0,
            len: 0,
            cap,
        }
    }

    /// From now on it may hold so many bytes, if that is more than before.
    pub fn widen(&mut self, cap: usize) {
        self.cap = self.cap.max(cap);
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether nothing more goes in before something is taken out.
    pub fn is_full(&self) -> bool {
        self.len >= self.cap
    }

    /// The next free bytes; none when it is full.
    pub fn free(&mut self) -> &mut [u8] {
        if self.len == self.buf.len() {
            self.grow(self.len + 1);
        }
        let size = self.buf.len();
        let tail = self.head + self.len;
        if tail < size {
            &mut self.buf[tail..]
        } else {
            let tail = tail - size;
            &mut self.buf[tail..self.head.max(tail)]
        }
    }

    /// So many of the free bytes have been written.
    pub fn filled(&mut self, n: usize) {
        self.len = (self.len + n).min(self.buf.len());
    }

    /// The first bytes held that lie in a row.
    pub fn front(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.buf.len());
        &self.buf[self.head..end]
    }

    /// All bytes held, in a row.
    pub fn all(&mut self) -> &[u8] {
        if self.head + self.len > self.buf.len() {
            self.buf.rotate_left(self.head);
            self.head = 0;
        }
        self.front()
    }

    /// Drops so many of the first bytes, and the space of a large message once it is through.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.buf.is_empty() {
            0
        } else {
            (self.head + n) % self.buf.len()
        };
        if self.len == 0 {
            self.head = 0;
            if self.buf.len() > FIRST {
                self.buf = Vec::new();
            }
        }
    }

    /// Takes all of these bytes, or none of them where they would go beyond the cap.
    #[must_use]
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        if self.len + bytes.len() > self.cap {
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
        if wanted <= self.buf.len() || self.buf.len() >= self.cap {
            return;
        }
        let size = wanted.next_power_of_two().max(FIRST).min(self.cap);
        let mut bigger = Vec::with_capacity(size);
        bigger.extend_from_slice(self.all());
        bigger.resize(size, 0);
        self.buf = bigger;
        self.head = 0;
    }
}
