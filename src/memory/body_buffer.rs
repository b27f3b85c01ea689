use bytes::{Bytes, BytesMut};
use memmap2::{Advice, MmapMut};

/// Size up to which a body is kept on the heap.
const MAX_HEAP_BYTES: usize = 32 << 10;

/// The bytes of a body as they arrive. Large bodies are kept in pages of their own, which go back to
/// the machine as soon as they are dropped; on the heap, other things between them would keep them.
///
/// ```
/// # use ebonyusher::memory::BodyBuffer;
/// let mut buffer = BodyBuffer::new(0, 1 << 20);
/// buffer.extend(&[7; 40_000]);
/// buffer.extend(&[8; 2]);
/// let body = buffer.freeze();
/// assert_eq!((body.len(), body[39_999], body[40_001]), (40_002, 7, 8));
/// ```
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Storage,
    max_bytes: usize,
}

#[derive(Debug)]
enum Storage {
    Heap(BytesMut),
    Pages(PageBytes),
}

/// The first `len` bytes of pages, which are resident as far as they were written.
#[derive(Debug)]
struct PageBytes {
    pages: MmapMut,
    len: usize,
}

impl AsRef<[u8]> for PageBytes {
    fn as_ref(&self) -> &[u8] {
        &self.pages[..self.len]
    }
}

impl BodyBuffer {
    /// Creates a buffer for a body of which `announced` bytes are certain to come, and at most
    /// `max_bytes` are added.
    pub fn new(announced: usize, max_bytes: usize) -> Self {
        let mut buffer = Self { bytes: Storage::Heap(BytesMut::new()), max_bytes };
        buffer.reserve(announced);
        buffer
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        match &self.bytes {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Pages(bytes) => bytes.len,
        }
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.reserve(self.len() + data.len());
        match &mut self.bytes {
            Storage::Heap(bytes) => bytes.extend_from_slice(data),
            Storage::Pages(bytes) => {
                let end = bytes.len + data.len();
                bytes.pages[bytes.len..end].copy_from_slice(data);
                bytes.len = end;
            }
        }
    }

    /// Returns the bytes.
    pub fn freeze(self) -> Bytes {
        match self.bytes {
            Storage::Heap(bytes) => bytes.freeze(),
            Storage::Pages(bytes) => Bytes::from_owner(bytes),
        }
    }

    /// Makes room for so many bytes in all. A buffer that outgrows the heap moves to pages for as
    /// many bytes as may come: those that don't come take no memory.
    fn reserve(&mut self, total: usize) {
        match &mut self.bytes {
            Storage::Heap(bytes) if total <= MAX_HEAP_BYTES => bytes.reserve(total - bytes.len()),
            Storage::Pages(bytes) if total <= bytes.pages.len() => {}
            Storage::Heap(bytes) => match PageBytes::copy(bytes, self.max_bytes.max(total)) {
                Some(pages) => self.bytes = Storage::Pages(pages),
                None => bytes.reserve(total - bytes.len()),
            },
            Storage::Pages(bytes) => {
                // More has come than was announced.
                let mut larger = BytesMut::with_capacity(total);
                larger.extend_from_slice(bytes.as_ref());
                self.bytes = Storage::Heap(larger);
            }
        }
    }
}

impl PageBytes {
    /// Copies bytes to new pages with room for `capacity` bytes, if the machine has as many.
    fn copy(bytes: &[u8], capacity: usize) -> Option<Self> {
        let mut pages = MmapMut::map_anon(capacity).ok()?;
        // A page of megabytes would be resident as soon as its first byte is written.
        pages.advise(Advice::NoHugePage).ok();
        pages[..bytes.len()].copy_from_slice(bytes);
        Some(Self { pages, len: bytes.len() })
    }
}
