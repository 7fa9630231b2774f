//! The database file.

use crate::batch::{StoredContents, WriteBatch};
use crate::checksum::{append_checksum, verify_checksum};
use crate::error::StoreError;
use redb::{Database, ReadTransaction, ReadableTable, Table, TableDefinition};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Log entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Single values by name.
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
/// Names of the values that this crate itself stores: the format of the file and the store's number.
const FORMAT_KEY: &str = "form";
const STORE_NUMBER_KEY: &str = "number";
const FORMAT: u64 = 1;
const FILE_NAME: &str = "agreement.redb";
/// A small cache is enough, since the log is read only once, at the start.
const CACHE_BYTES: usize = 1024 * 1024;

/// The open database file.
pub struct StoreFile {
    /// `None` after a failed write, until the next write reopens the database.
    database: Option<Database>,
    path: PathBuf,
}

impl StoreFile {
    /// Opens the file in this directory, or creates it with this number.
    ///
    /// # Errors
    /// The directory cannot be accessed, another process has the file open, or it is damaged. The file is not changed then.
    pub fn open(directory: &Path, store_number: u64) -> Result<(Self, StoredContents), StoreError> {
        std::fs::create_dir_all(directory).map_err(StoreError::Directory)?;
        let path = directory.join(FILE_NAME);
        // The database library panics on some damaged files.
        let opened = catch_panic(|| StoreFile::open_path(&path, store_number));
        opened.unwrap_or_else(|| {
            Err(StoreError::Damaged(
                "the database library panicked while reading it".to_owned(),
            ))
        })
    }

    fn open_path(path: &Path, store_number: u64) -> Result<(Self, StoredContents), StoreError> {
        let is_new = !path.exists();
        let mut database = open_database(path)?;
        // Checks the whole file now, since the library would panic later when it reads a damaged part.
        let is_intact = database
            .check_integrity()
            .map_err(StoreError::read_failed)?;
        if !is_intact {
            let message = "its integrity check failed";
            return Err(StoreError::Damaged(message.to_owned()));
        }
        if is_new {
            return StoreFile::initialize(path, database, store_number);
        }
        let contents = read_contents(&database)?;
        let file = StoreFile {
            database: Some(database),
            path: path.to_owned(),
        };
        Ok((file, contents))
    }

    fn initialize(
        path: &Path,
        database: Database,
        store_number: u64,
    ) -> Result<(Self, StoredContents), StoreError> {
        let mut file = StoreFile {
            database: Some(database),
            path: path.to_owned(),
        };
        let value = |name: &str, number: u64| {
            let bytes = number.to_be_bytes().to_vec();
            (name.to_owned(), Some(bytes))
        };
        let values = vec![
            value(FORMAT_KEY, FORMAT),
            value(STORE_NUMBER_KEY, store_number),
        ];
        file.write(&[WriteBatch {
            values,
            ..WriteBatch::default()
        }])?;
        let contents = StoredContents {
            store_number,
            ..StoredContents::default()
        };
        Ok((file, contents))
    }

    /// Makes batches durable in one transaction.
    ///
    /// # Errors
    /// The write failed and nothing was stored. The caller may retry the same batches.
    pub fn write(&mut self, batches: &[WriteBatch]) -> Result<(), StoreError> {
        // After a failed write, the database rejects further ones until it is reopened.
        let database = match self.database.take() {
            Some(database) => database,
            None => open_database(&self.path)
                .map_err(|error| StoreError::WriteFailed(error.to_string()))?,
        };
        let written = catch_panic(|| write_batches(&database, batches));
        let written = written.unwrap_or_else(|| {
            Err(StoreError::WriteFailed(
                "the database library panicked".to_owned(),
            ))
        });
        if written.is_ok() {
            self.database = Some(database);
        } else {
            catch_panic(|| drop(database));
        }
        written
    }
}

impl Drop for StoreFile {
    fn drop(&mut self) {
        let database = self.database.take();
        catch_panic(|| drop(database));
    }
}

/// Calls the database library, which panics where its invariants are violated. Returns `None` after a panic.
fn catch_panic<T>(call: impl FnOnce() -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(call)).ok()
}

fn open_database(path: &Path) -> Result<Database, StoreError> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    match builder.create(path) {
        Ok(database) => Ok(database),
        Err(redb::DatabaseError::DatabaseAlreadyOpen) => Err(StoreError::InUse),
        Err(error) => Err(StoreError::read_failed(error)),
    }
}

fn read_contents(database: &Database) -> Result<StoredContents, StoreError> {
    let transaction = database.begin_read().map_err(StoreError::read_failed)?;
    let mut contents = StoredContents::default();
    read_values(&transaction, &mut contents)?;
    contents.entries = read_entries(&transaction)?;
    Ok(contents)
}

/// Reads the values and checks the file's format, which is one of them.
fn read_values(
    transaction: &ReadTransaction,
    contents: &mut StoredContents,
) -> Result<(), StoreError> {
    let mut format = None;
    let values = transaction
        .open_table(VALUES)
        .map_err(StoreError::read_failed)?;
    for row in values.iter().map_err(StoreError::read_failed)? {
        let (name, stored) = row.map_err(StoreError::read_failed)?;
        let value = verify_checksum(name.value().as_bytes(), stored.value())?;
        let number = value.first_chunk().map(|bytes| u64::from_be_bytes(*bytes));
        match name.value() {
            FORMAT_KEY => format = number,
            STORE_NUMBER_KEY => contents.store_number = number.unwrap_or_default(),
            name => contents.values.push((name.to_owned(), value)),
        }
    }
    if format != Some(FORMAT) {
        let message = format!("its format is {format:?}, want {FORMAT}");
        return Err(StoreError::Damaged(message));
    }
    Ok(())
}

fn read_entries(transaction: &ReadTransaction) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
    let log = match transaction.open_table(LOG) {
        Ok(log) => log,
        // The table does not exist in a store that never had an entry.
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
        Err(error) => return Err(StoreError::read_failed(error)),
    };
    let mut entries = Vec::new();
    for row in log.iter().map_err(StoreError::read_failed)? {
        let (index, stored) = row.map_err(StoreError::read_failed)?;
        let index = index.value();
        let entry = verify_checksum(&index.to_be_bytes(), stored.value())?;
        entries.push((index, entry));
    }
    Ok(entries)
}

fn write_batches(database: &Database, batches: &[WriteBatch]) -> Result<(), StoreError> {
    let transaction = database.begin_write().map_err(StoreError::write_failed)?;
    {
        let mut values = transaction
            .open_table(VALUES)
            .map_err(StoreError::write_failed)?;
        let mut log = transaction
            .open_table(LOG)
            .map_err(StoreError::write_failed)?;
        for batch in batches {
            write_values(&mut values, batch)?;
            write_entries(&mut log, batch).map_err(StoreError::write_failed)?;
        }
    }
    transaction.commit().map_err(StoreError::write_failed)
}

fn write_values(values: &mut Table<&str, &[u8]>, batch: &WriteBatch) -> Result<(), StoreError> {
    for (name, value) in &batch.values {
        let written = match value {
            Some(value) => {
                let stored = append_checksum(name.as_bytes(), value);
                values.insert(name.as_str(), stored.as_slice()).map(drop)
            }
            None => values.remove(name.as_str()).map(drop),
        };
        written.map_err(StoreError::write_failed)?;
    }
    Ok(())
}

fn write_entries(
    log: &mut Table<u64, &[u8]>,
    batch: &WriteBatch,
) -> Result<(), redb::StorageError> {
    if let Some(last) = batch.drop_entries_to {
        log.retain_in::<u64, _>(..=last, |_, _| false)?;
    }
    if let Some((first, _)) = batch.entries.first() {
        log.retain_in::<u64, _>(*first.., |_, _| false)?;
    }
    for (index, entry) in &batch.entries {
        let stored = append_checksum(&index.to_be_bytes(), entry);
        log.insert(index, stored.as_slice())?;
    }
    Ok(())
}
