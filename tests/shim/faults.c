/*
 * A library to preload (LD_PRELOAD) that makes system calls of a process fail on demand, in ways that Linux documents.
 *
 * FAULTS_CONTROL names a file of 64-bit numbers in the order of `enum setting`. The file is mapped, so that a test can
 * change the numbers while the process runs. A rate of N makes one call in N fail, chosen by a seeded generator; 0
 * turns the fault off.
 *
 * "File" below means a regular file; the standard streams (descriptors 0 to 2) are never affected as files. Short,
 * delayed and broken transfers on sockets and failing connects apply to TCP sockets only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum setting {
    SEED,              /* of the generator; read when the library is loaded */
    WALL_OFFSET_MS,    /* parameter: added to the wall clock (CLOCK_REALTIME) */
    INTERRUPTED_IO,    /* rate; recv, send, readv, writev, read and write on any socket: EINTR */
    SHORT_IO,          /* rate; the same calls on TCP sockets transfer at most SHORT_IO_BYTES bytes */
    SHORT_IO_BYTES,    /* parameter of SHORT_IO, which has no effect while this is 0 */
    INTERRUPTED_WAIT,  /* rate; epoll_wait: EINTR */
    FAILED_ACCEPT,     /* rate; accept4: ECONNABORTED, ENFILE, EINTR, ENOBUFS, EPROTO */
    FAILED_CONNECT,    /* rate; connect of TCP sockets: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, EINTR */
    FAILED_SOCKET,     /* rate; socket for IPv4 and IPv6: ENFILE, ENOBUFS, ENOMEM */
    BROKEN_CONNECTION, /* rate; the calls of SHORT_IO: ETIMEDOUT, EHOSTUNREACH; the connection is also shut down */
    DELAYED_SEND,      /* rate; send and writev on TCP sockets wait for DELAY_MS first */
    DELAY_MS,          /* parameter of DELAYED_SEND and DELAYED_RENAME */
    FAILED_WRITE,      /* rate; write to a file: ENOSPC, EIO */
    PARTIAL_WRITE,     /* rate; write to a file: half of the bytes are written; ENOSPC if there is only one byte */
    FAILED_SYNC,       /* rate; fsync and fdatasync: EIO, ENOSPC */
    FAILED_RENAME,     /* rate; rename: EIO, ENOSPC */
    KILL_DURING_WRITE, /* rate; write to a file: half of the bytes are written, then the process exits with code 137 */
    DELAYED_RENAME,    /* rate; rename waits for DELAY_MS first */
    SETTING_COUNT
};

/* The mapped control file, or NULL if the process has none. */
static const int64_t *settings;
static uint64_t generator_state;

/* Maps the control file. Without one, or if it cannot be mapped, no call is changed. */
__attribute__((constructor)) static void map_control_file(void) {
    const char *path = getenv("FAULTS_CONTROL");
    if (!path) return;
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return;
    void *at = mmap(NULL, SETTING_COUNT * sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (at == MAP_FAILED) return;
    settings = at;
    generator_state = (uint64_t)settings[SEED] * 0x9e3779b97f4a7c15u + 0x632be59bd9b4e019u;
}

static int64_t value_of(enum setting which) { return settings ? settings[which] : 0; }

/* The next number of a xorshift generator. */
static uint64_t next_random(void) {
    generator_state ^= generator_state << 13;
    generator_state ^= generator_state >> 7;
    generator_state ^= generator_state << 17;
    return generator_state;
}

/* Whether to inject a fault into this call, by the rate of the fault. */
static int should_inject(enum setting fault) {
    int64_t rate = value_of(fault);
    return rate > 0 && next_random() % (uint64_t)rate == 0;
}

/* Sets errno to one of the errors, and returns -1. */
static int fail_with_one_of(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}
#define FAIL(...) fail_with_one_of((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

/* The function of this name that the process would call without this library. */
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_tcp(int fd) {
    int domain = 0, type = 0;
    socklen_t length = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) != 0) return 0;
    length = sizeof type;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0) return 0;
    return (domain == AF_INET || domain == AF_INET6) && type == SOCK_STREAM;
}

/* Whether `fd` is a regular file and none of the standard streams. */
static int is_file(int fd) {
    struct stat status;
    return fd > 2 && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

/* Injects the faults of a transfer on a socket: returns -1 with errno set, or how many bytes the call may transfer. */
static ssize_t allowed_bytes(int fd, size_t wanted) {
    if (!settings || wanted == 0 || !is_socket(fd)) return (ssize_t)wanted;
    if (should_inject(INTERRUPTED_IO)) {
        errno = EINTR;
        return -1;
    }
    if (!is_tcp(fd)) return (ssize_t)wanted;
    if (should_inject(BROKEN_CONNECTION)) {
        shutdown(fd, SHUT_RDWR);
        return FAIL(ETIMEDOUT, EHOSTUNREACH);
    }
    int64_t short_bytes = value_of(SHORT_IO_BYTES);
    if (should_inject(SHORT_IO) && short_bytes > 0 && wanted > (size_t)short_bytes) return short_bytes;
    return (ssize_t)wanted;
}

static void inject_delay(enum setting fault) {
    if (!should_inject(fault)) return;
    int64_t ms = value_of(DELAY_MS);
    struct timespec delay = {ms / 1000, ms % 1000 * 1000000};
    nanosleep(&delay, NULL);
}

static void delay_send(int fd) {
    if (value_of(DELAYED_SEND) > 0 && is_tcp(fd)) inject_delay(DELAYED_SEND);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    ssize_t allowed = allowed_bytes(fd, length);
    return allowed < 0 ? -1 : REAL(recv)(fd, buffer, (size_t)allowed, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    delay_send(fd);
    ssize_t allowed = allowed_bytes(fd, length);
    return allowed < 0 ? -1 : REAL(send)(fd, buffer, (size_t)allowed, flags);
}

/* readv or writev. A shortened call transfers bytes of the first part that is not empty, and of no other part. */
static ssize_t transfer_vector(int fd, const struct iovec *parts, int count, __typeof__(&readv) real) {
    size_t wanted = 0;
    for (int i = 0; i < count; i++) wanted += parts[i].iov_len;
    ssize_t allowed = allowed_bytes(fd, wanted);
    if (allowed < 0) return -1;
    if ((size_t)allowed == wanted) return real(fd, parts, count);
    for (int i = 0; i < count; i++) {
        if (parts[i].iov_len == 0) continue;
        struct iovec part = parts[i];
        if (part.iov_len > (size_t)allowed) part.iov_len = (size_t)allowed;
        return real(fd, &part, 1);
    }
    return real(fd, parts, count);
}

ssize_t readv(int fd, const struct iovec *parts, int count) { return transfer_vector(fd, parts, count, REAL(readv)); }

ssize_t writev(int fd, const struct iovec *parts, int count) {
    delay_send(fd);
    return transfer_vector(fd, parts, count, REAL(writev));
}

ssize_t read(int fd, void *buffer, size_t length) {
    ssize_t allowed = allowed_bytes(fd, length);
    return allowed < 0 ? -1 : REAL(read)(fd, buffer, (size_t)allowed);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    if (settings && length > 0 && is_file(fd)) {
        if (should_inject(FAILED_WRITE)) return FAIL(ENOSPC, EIO);
        int must_exit = should_inject(KILL_DURING_WRITE);
        if (must_exit || should_inject(PARTIAL_WRITE)) {
            ssize_t written = REAL(write)(fd, buffer, (length + 1) / 2);
            if (must_exit) _exit(137);
            if (length > 1) return written;
            return FAIL(ENOSPC);
        }
    }
    ssize_t allowed = allowed_bytes(fd, length);
    return allowed < 0 ? -1 : REAL(write)(fd, buffer, (size_t)allowed);
}

int fsync(int fd) { return should_inject(FAILED_SYNC) ? FAIL(EIO, ENOSPC) : REAL(fsync)(fd); }

int fdatasync(int fd) { return should_inject(FAILED_SYNC) ? FAIL(EIO, ENOSPC) : REAL(fdatasync)(fd); }

int rename(const char *from, const char *to) {
    inject_delay(DELAYED_RENAME);
    return should_inject(FAILED_RENAME) ? FAIL(EIO, ENOSPC) : REAL(rename)(from, to);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (should_inject(FAILED_ACCEPT)) return FAIL(ECONNABORTED, ENFILE, EINTR, ENOBUFS, EPROTO);
    return REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (settings && is_tcp(fd) && should_inject(FAILED_CONNECT)) {
        return FAIL(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, EINTR);
    }
    return REAL(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    int is_internet = domain == AF_INET || domain == AF_INET6;
    if (is_internet && should_inject(FAILED_SOCKET)) return FAIL(ENFILE, ENOBUFS, ENOMEM);
    return REAL(socket)(domain, type, protocol);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (should_inject(INTERRUPTED_WAIT)) return FAIL(EINTR);
    return REAL(epoll_wait)(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    int64_t offset = value_of(WALL_OFFSET_MS);
    if (result == 0 && clock == CLOCK_REALTIME && offset != 0) {
        time->tv_sec += offset / 1000;
        time->tv_nsec += offset % 1000 * 1000000;
        if (time->tv_nsec < 0) time->tv_nsec += 1000000000, time->tv_sec--;
        if (time->tv_nsec >= 1000000000) time->tv_nsec -= 1000000000, time->tv_sec++;
    }
    return result;
}
