//! Crowds of clients that exceed the limits of a server.
//!
//! Each client opens one connection, writes a [`Script`] and stays silent until the crowd leaves. The
//! [`Gauge`] reads what the process of the server uses meanwhile.

use std::{
    collections::HashSet,
    fmt, fs, future, io, mem,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time,
};

/// The most bytes of one write.
const BLOCK: usize = 16 * 1024;
/// How long a crowd waits until its clients have written everything. Clients that are not read on
/// are not waited for.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a crowd stays after that.
const STAY: Duration = Duration::from_millis(500);
/// How long a process may take to close the connections of a crowd that has left: longer than the
/// timeouts of requests.
const CALM_TIMEOUT: Duration = Duration::from_secs(40);
/// The state of a listening socket in `/proc/net/tcp`.
const LISTEN: &str = "0A";
/// The interval at which a process is looked at.
const GAUGE_INTERVAL: Duration = Duration::from_millis(20);

/// What one client writes.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// The bytes that are written once.
    pub begin: Vec<u8>,
    /// The bytes that are repeated after them; empty for none.
    pub unit: Vec<u8>,
    /// How many bytes of repeated units are written.
    pub length: usize,
    /// The bytes that are written last.
    pub end: Vec<u8>,
    /// Whether the client reads what the server sends.
    pub reads: bool,
    /// How the client leaves.
    pub exit: Exit,
}

/// What a client does once it has written everything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Exit {
    /// It stays silent until the crowd leaves.
    #[default]
    Stay,
    /// It closes its sending side.
    HalfClose,
    /// It resets the connection, and opens another one until the crowd leaves.
    Reset,
}

/// What the clients of a crowd have received.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What each client received, by its number.
    pub received: Vec<Vec<u8>>,
}

impl Report {
    /// The status codes of the first responses; zero for a connection that received none.
    pub fn statuses(&self) -> Vec<u16> {
        self.received.iter().map(|bytes| status(bytes)).collect()
    }
}

fn status(bytes: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(bytes);
    let code = text.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// A crowd that writes to a server.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<(usize, Vec<u8>)>,
    writing: Arc<AtomicUsize>,
    leave: watch::Sender<bool>,
}

impl Crowd {
    /// Connects `count` clients, of which client `number` writes the script `script(number)`.
    pub fn start(server: SocketAddr, count: usize, script: impl Fn(usize) -> Script) -> Self {
        let leave = watch::channel(false).0;
        let writing = Arc::new(AtomicUsize::new(count));
        let mut clients = JoinSet::new();
        for number in 0..count {
            let client = Client {
                server,
                script: script(number),
                writing: Arc::clone(&writing),
                leaving: leave.subscribe(),
            };
            clients.spawn(async move { (number, client.run().await) });
        }
        Self {
            clients,
            writing,
            leave,
        }
    }

    /// Waits until the clients have written what the server reads, and a moment longer.
    pub async fn settle(&self) {
        let written = async {
            while self.writing.load(Ordering::Relaxed) > 0 {
                time::sleep(GAUGE_INTERVAL).await;
            }
        };
        // Clients that are not read on stay blocked.
        drop(time::timeout(WRITE_TIMEOUT, written).await);
        time::sleep(STAY).await;
    }

    /// Closes all connections.
    pub async fn leave(self) -> Report {
        self.leave.send_replace(true);
        let mut received = self.clients.join_all().await;
        received.sort_by_key(|(number, _)| *number);
        let received = received.into_iter().map(|(_, bytes)| bytes).collect();
        Report { received }
    }
}

struct Client {
    server: SocketAddr,
    script: Script,
    writing: Arc<AtomicUsize>,
    leaving: watch::Receiver<bool>,
}

impl Client {
    async fn run(self) -> Vec<u8> {
        let mut received = Vec::new();
        let mut leaving = self.leaving.clone();
        tokio::select! {
            () = self.play(&mut received) => {}
            _ = leaving.wait_for(|is_leaving| *is_leaving) => {}
        }
        received
    }

    async fn play(&self, received: &mut Vec<u8>) {
        let mut is_first = true;
        loop {
            // The server may refuse or reset the connection.
            drop(self.connect_once(received, &mut is_first).await);
            if self.script.exit != Exit::Reset {
                return;
            }
        }
    }

    async fn connect_once(&self, received: &mut Vec<u8>, is_first: &mut bool) -> io::Result<()> {
        let stream = TcpStream::connect(self.server).await;
        let result = match stream {
            Ok(stream) => self.talk(stream, received, is_first).await,
            Err(error) => Err(error),
        };
        self.written(is_first);
        result
    }

    async fn talk(
        &self,
        stream: TcpStream,
        received: &mut Vec<u8>,
        is_first: &mut bool,
    ) -> io::Result<()> {
        if self.script.exit == Exit::Reset {
            return self.write_and_reset(stream, is_first).await;
        }
        let (mut from_server, mut to_server) = stream.into_split();
        let writing = async {
            // A server that refuses the request may close the connection.
            drop(self.write(&mut to_server).await);
            self.written(is_first);
            if self.script.exit == Exit::HalfClose {
                drop(to_server.shutdown().await);
            }
        };
        let reading = async {
            if !self.script.reads {
                return future::pending().await;
            }
            let mut buffer = vec![0; BLOCK];
            loop {
                match from_server.read(&mut buffer).await {
                    Ok(count) if count > 0 => {
                        // Enough for the status and the headers of a response.
                        let kept = count.min(BLOCK.saturating_sub(received.len()));
                        received.extend_from_slice(&buffer[..kept]);
                    }
                    _ => return,
                }
            }
        };
        tokio::join!(writing, reading);
        Ok(())
    }

    async fn write_and_reset(&self, mut stream: TcpStream, is_first: &mut bool) -> io::Result<()> {
        let result = self.write(&mut stream).await;
        self.written(is_first);
        stream.set_zero_linger()?;
        result
    }

    async fn write(&self, to_server: &mut (impl AsyncWriteExt + Unpin)) -> io::Result<()> {
        let script = &self.script;
        to_server.write_all(&script.begin).await?;
        if !script.unit.is_empty() {
            let block = script.unit.repeat(BLOCK.div_ceil(script.unit.len()));
            let mut left = script.length;
            while left > 0 {
                let count = left.min(block.len());
                to_server.write_all(&block[..count]).await?;
                left -= count;
            }
        }
        to_server.write_all(&script.end).await
    }

    /// Records that the first connection has been written to.
    fn written(&self, is_first: &mut bool) {
        if mem::take(is_first) {
            self.writing.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// What a process has used at most since the gauge was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peak {
    /// The memory of the process, in bytes. It counts from the start of the process.
    pub memory: u64,
    /// The bytes that the kernel held at once for the TCP connections of the process.
    pub queued: u64,
    /// The open file descriptors.
    pub descriptors: usize,
}

impl Peak {
    /// The memory that its host needs for the process, in bytes.
    pub fn total(&self) -> u64 {
        self.memory + self.queued
    }
}

impl fmt::Display for Peak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const MEGABYTE: u64 = 1024 * 1024;
        write!(
            f,
            "{} MB of memory, {} MB in queues, {} descriptors",
            self.memory / MEGABYTE,
            self.queued / MEGABYTE,
            self.descriptors
        )
    }
}

/// Observes a process.
#[derive(Debug)]
pub struct Gauge {
    process: u32,
    peak: watch::Receiver<Peak>,
    /// Ends the observation when it is dropped.
    _task: JoinSet<()>,
}

impl Gauge {
    /// Observes the process `process` from now on.
    pub fn start(process: u32) -> Self {
        let (sender, peak) = watch::channel(Peak::default());
        let mut task = JoinSet::new();
        task.spawn(async move {
            loop {
                let (queued, descriptors) = sockets(process);
                let memory = peak_memory(process).unwrap_or_default();
                sender.send_modify(|peak| {
                    peak.memory = peak.memory.max(memory);
                    peak.queued = peak.queued.max(queued);
                    peak.descriptors = peak.descriptors.max(descriptors);
                });
                time::sleep(GAUGE_INTERVAL).await;
            }
        });
        Self {
            process,
            peak,
            _task: task,
        }
    }

    /// Waits until the process has closed the connections of a crowd that has left to `listener`.
    ///
    /// # Panics
    ///
    /// When it has not after a long time.
    pub async fn calm(&self, listener: SocketAddr) {
        let closed = async {
            while connections(self.process, listener.port()) > 0 {
                time::sleep(GAUGE_INTERVAL).await;
            }
        };
        let closed = time::timeout(CALM_TIMEOUT, closed).await;
        closed.expect("the process closes the connections of the crowd");
    }

    /// What the process has used at most, as far as it was observed. It may have ended.
    pub fn observed(&self) -> Peak {
        *self.peak.borrow()
    }

    /// What the process has used at most.
    ///
    /// # Panics
    ///
    /// When the process has ended.
    pub fn peak(&self) -> Peak {
        let peak = *self.peak.borrow();
        let memory = peak_memory(self.process).expect("the process is running");
        Peak { memory, ..peak }
    }
}

/// The most memory that a process has had in use, in bytes; `None` if it has ended.
fn peak_memory(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// The connections of a process on a port that it listens on.
fn connections(process: u32, port: u16) -> usize {
    let (inodes, _) = descriptors(process);
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let is_open = |line: &&str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode = fields.get(9).and_then(|inode| inode.parse().ok());
        let local = fields.get(1).and_then(|address| address.split_once(':'));
        let local = local.and_then(|(_, port)| u16::from_str_radix(port, 16).ok());
        fields.get(3) != Some(&LISTEN)
            && local == Some(port)
            && inode.is_some_and(|inode| inodes.contains(&inode))
    };
    table.lines().filter(is_open).count()
}

/// The bytes in the queues of the TCP sockets of a process, and the number of its descriptors.
fn sockets(process: u32) -> (u64, usize) {
    let (inodes, descriptors) = descriptors(process);
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = table.lines().filter_map(|line| queue(line, &inodes)).sum();
    (queued, descriptors)
}

/// The inodes of the sockets of a process, and the number of its descriptors.
fn descriptors(process: u32) -> (HashSet<u64>, usize) {
    let mut inodes = HashSet::new();
    let mut descriptors = 0;
    let entries = fs::read_dir(format!("/proc/{process}/fd"));
    for entry in entries.into_iter().flatten().flatten() {
        descriptors += 1;
        // A descriptor may have been closed meanwhile.
        let target = fs::read_link(entry.path()).unwrap_or_default();
        let inode = target.to_str().and_then(|text| {
            let text = text.strip_prefix("socket:[")?;
            text.strip_suffix(']')?.parse::<u64>().ok()
        });
        inodes.extend(inode);
    }
    (inodes, descriptors)
}

/// The bytes in both queues of the socket in a line of `/proc/net/tcp`, if it is one of `inodes`.
fn queue(line: &str, inodes: &HashSet<u64>) -> Option<u64> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let inode: u64 = fields.get(9)?.parse().ok()?;
    // A listening socket shows the length of its accept queue.
    if fields.get(3) == Some(&LISTEN) || !inodes.contains(&inode) {
        return None;
    }
    let (sent, received) = fields.get(4)?.split_once(':')?;
    let bytes = |text| u64::from_str_radix(text, 16).ok();
    Some(bytes(sent)? + bytes(received)?)
}
