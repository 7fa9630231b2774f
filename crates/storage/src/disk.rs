//! The file.

use redb::{Database, ReadableTable, TableDefinition};
use std::path::Path;

/// The log by index, and single values by name.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
const FORM: u64 = 1;
const FILE: &str = "agreement.redb";

/// Why a store cannot be used, or takes nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder cannot be used.
    #[error("store: {0}")]
    Folder(String),
    /// Another process has it.
    #[error("store: another process uses it")]
    InUse,
    /// The file makes no sense, or was written by another version.
    #[error("store: the file is damaged: {0}")]
    Damaged(String),
    /// The disk takes nothing.
    #[error("store: {0}; nothing is promised until it can be written")]
    Disk(String),
}

impl StoreError {
    /// What whoever is on call can do.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Folder(_) => "see that the folder under `store` is there, can be written and is used by one process",
            StoreError::InUse => "end the other process, or give each node a `store` of its own",
            StoreError::Damaged(_) => "set the folder aside and keep it; replace this voter under a new number",
            StoreError::Disk(_) => "make room on the disk; the node goes on by itself once there is",
        }
    }
}

/// Something to be made durable. Its parts are there together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Comes back once it is durable.
    pub ticket: u64,
    /// Values by name; none drops one.
    pub values: Vec<(String, Option<Vec<u8>>)>,
    /// Entries of the log up to this one go, before the new ones are added.
    pub drop_to: Option<u64>,
    /// Entries of the log. What is there from the first of them on is dropped.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What was in the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// The store's own number.
    pub number: u64,
    /// Values by name.
    pub values: Vec<(String, Vec<u8>)>,
    /// The log.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// The file, open.
pub struct Disk {
    file: Option<Database>,
    path: std::path::PathBuf,
}

/// A value with its checksum, which covers its name: one that stands under another is found, too.
fn sealed(name: &[u8], value: &[u8]) -> Vec<u8> {
    let mut bytes = value.to_vec();
    bytes.extend(sum(name, value).to_be_bytes());
    bytes
}

fn sum(name: &[u8], value: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(name);
    hasher.update(value);
    hasher.finalize()
}

fn opened(name: &[u8], bytes: &[u8]) -> Result<Vec<u8>, StoreError> {
    let split = bytes.split_last_chunk::<4>();
    let found = split.filter(|(value, own)| sum(name, value) == u32::from_be_bytes(**own));
    let damaged = || StoreError::Damaged(format!("the checksum of '{}'", name.escape_ascii()));
    found.map(|(value, _)| value.to_vec()).ok_or_else(damaged)
}

fn disk(e: impl Into<redb::Error>) -> StoreError {
    StoreError::Disk(e.into().to_string())
}

/// A file that can be opened and not read is damaged, unless the disk itself failed.
fn reading(e: impl Into<redb::Error>) -> StoreError {
    match e.into() {
        redb::Error::Io(e) => StoreError::Folder(e.to_string()),
        e => StoreError::Damaged(e.to_string()),
    }
}

impl Disk {
    /// Opens the file in this folder, or makes one with this number.
    ///
    /// # Errors
    /// The folder cannot be used, or the file makes no sense. Nothing of it is changed then.
    pub fn open(folder: &Path, number: u64) -> Result<(Self, Loaded), StoreError> {
        std::fs::create_dir_all(folder).map_err(|e| StoreError::Folder(e.to_string()))?;
        // The library ends the process on some files that make no sense.
        let opened = caught(|| Disk::at(&folder.join(FILE), number));
        opened.unwrap_or_else(|| Err(StoreError::Damaged("it cannot be read".to_owned())))
    }

    fn at(path: &Path, number: u64) -> Result<(Self, Loaded), StoreError> {
        let new = !path.exists();
        let path = path.to_owned();
        let mut file = open(&path)?;
        // The whole file, once: damage that nothing reads now would end the process when something does.
        match file.check_integrity() {
            Ok(true) => {}
            Ok(false) => {
                return Err(StoreError::Damaged(
                    "its pages do not fit each other".to_owned(),
                ))
            }
            Err(e) => return Err(reading(e)),
        }
        if new {
            let mut disk = Disk {
                file: Some(file),
                path,
            };
            let values = vec![
                ("form".to_owned(), Some(FORM.to_be_bytes().to_vec())),
                ("number".to_owned(), Some(number.to_be_bytes().to_vec())),
            ];
            disk.write(&[Write {
                values,
                ..Write::default()
            }])?;
            return Ok((
                disk,
                Loaded {
                    number,
                    ..Loaded::default()
                },
            ));
        }
        let loaded = load(&file)?;
        Ok((
            Disk {
                file: Some(file),
                path,
            },
            loaded,
        ))
    }

    /// Makes writes durable, all of them or none.
    ///
    /// # Errors
    /// The disk took nothing. The same may be tried again.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        // After an error the database takes nothing more before it is opened anew.
        let file = match self.file.take() {
            Some(file) => file,
            None => open(&self.path).map_err(|e| StoreError::Disk(e.to_string()))?,
        };
        let written = caught(|| put(&file, writes))
            .unwrap_or_else(|| Err(StoreError::Disk("the library gave up".to_owned())));
        match written {
            Ok(()) => self.file = Some(file),
            Err(_) => drop(caught(|| drop(file))),
        }
        written
    }
}

/// None where the library ends in a panic, as it does on what it takes for impossible.
fn caught<T>(what: impl FnOnce() -> T) -> Option<T> {
    std::panic::catch_unwind(std::panic::AssertUnwindSafe(what)).ok()
}

impl Drop for Disk {
    fn drop(&mut self) {
        let file = self.file.take();
        caught(|| drop(file));
    }
}

fn open(path: &Path) -> Result<Database, StoreError> {
    // A little memory: the log is read once, at the start.
    let mut builder = Database::builder();
    builder.set_cache_size(1024 * 1024);
    match builder.create(path) {
        Ok(file) => Ok(file),
        Err(redb::DatabaseError::DatabaseAlreadyOpen) => Err(StoreError::InUse),
        Err(e) => Err(reading(e)),
    }
}

fn load(file: &Database) -> Result<Loaded, StoreError> {
    let mut loaded = Loaded::default();
    let read = file.begin_read().map_err(reading)?;
    let mut form = None;
    for row in read
        .open_table(VALUES)
        .map_err(reading)?
        .iter()
        .map_err(reading)?
    {
        let (name, bytes) = row.map_err(reading)?;
        let value = opened(name.value().as_bytes(), bytes.value())?;
        let number = value
            .first_chunk::<8>()
            .map(|bytes| u64::from_be_bytes(*bytes));
        match name.value() {
            "form" => form = number,
            "number" => loaded.number = number.unwrap_or_default(),
            name => loaded.values.push((name.to_owned(), value)),
        }
    }
    if form != Some(FORM) {
        return Err(StoreError::Damaged(format!(
            "its form is {form:?}, want {FORM}"
        )));
    }
    // A store without an entry has no such table yet.
    match read.open_table(LOG) {
        Ok(log) => {
            for row in log.iter().map_err(reading)? {
                let (index, bytes) = row.map_err(reading)?;
                let entry = opened(&index.value().to_be_bytes(), bytes.value())?;
                loaded.entries.push((index.value(), entry));
            }
        }
        Err(redb::TableError::TableDoesNotExist(_)) => {}
        Err(e) => return Err(reading(e)),
    }
    Ok(loaded)
}

fn put(file: &Database, writes: &[Write]) -> Result<(), StoreError> {
    let transaction = file.begin_write().map_err(disk)?;
    {
        let mut values = transaction.open_table(VALUES).map_err(disk)?;
        let mut log = transaction.open_table(LOG).map_err(disk)?;
        for write in writes {
            for (name, value) in &write.values {
                match value {
                    Some(value) => {
                        let bytes = sealed(name.as_bytes(), value);
                        values
                            .insert(name.as_str(), bytes.as_slice())
                            .map_err(disk)?;
                    }
                    None => drop(values.remove(name.as_str()).map_err(disk)?),
                }
            }
            if let Some(to) = write.drop_to {
                log.retain_in::<u64, _>(..=to, |_, _| false).map_err(disk)?;
            }
            if let Some((first, _)) = write.entries.first() {
                log.retain_in::<u64, _>(*first.., |_, _| false)
                    .map_err(disk)?;
            }
            for (index, entry) in &write.entries {
                let bytes = sealed(&index.to_be_bytes(), entry);
                log.insert(index, bytes.as_slice()).map_err(disk)?;
            }
        }
    }
    transaction.commit().map_err(disk)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against what the database's own checks cannot see: a value that is sound and stands in another's place.
    #[test]
    fn a_value_counts_under_its_own_name_only() {
        let bytes = sealed(b"hard", b"vote");
        assert_eq!(opened(b"hard", &bytes).expect("its own"), b"vote");
        assert!(opened(b"snapshot", &bytes).is_err());
        for at in 0..bytes.len() {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1;
            assert!(opened(b"hard", &flipped).is_err(), "byte {at}");
        }
        assert!(opened(b"hard", &bytes[..3]).is_err());
    }
}
