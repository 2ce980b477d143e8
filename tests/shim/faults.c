/*
 * A preloaded library that makes system calls of one process fail on demand, in ways that Linux documents.
 *
 * FAULTS_CONTROL names a file of 64-bit numbers in the order of `enum control`; it is mapped, so that a test can
 * change the numbers while the process runs. A rate of N makes one call in N fail, chosen by a seeded generator;
 * 0 turns that fault off. Only sockets and regular files other than the standard streams are touched, and all but
 * EINTR and SOCKET_FAILS concerns TCP sockets alone.
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

enum control {
    SEED,
    WALL_OFFSET_MS,   /* added to the wall clock */
    INTERRUPTED_IO,   /* recv, send, readv, writev, read and write on sockets: EINTR */
    SHORT_IO,         /* the same calls move at most SHORT_BYTES bytes */
    SHORT_BYTES,
    INTERRUPTED_WAIT, /* epoll_wait: EINTR */
    ACCEPT_FAILS,     /* accept: ECONNABORTED, ENFILE, EINTR, ENOBUFS, EPROTO */
    CONNECT_FAILS,    /* connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, EINTR */
    SOCKET_FAILS,     /* socket: ENFILE, ENOBUFS, ENOMEM */
    BROKEN_IO,        /* recv and send: ETIMEDOUT, EHOSTUNREACH; the connection is shut down with it */
    HELD_SEND,        /* send and writev on sockets wait for HOLD_MS first */
    HOLD_MS,
    WRITE_FAILS,      /* writes to files: ENOSPC, EIO */
    WRITE_HALVES,     /* writes to files: half is written, then ENOSPC */
    SYNC_FAILS,       /* fsync and fdatasync: EIO, ENOSPC */
    RENAME_FAILS,     /* rename: EIO, ENOSPC */
    KILL_IN_WRITE,    /* a write to a file: half is written, then the process is killed */
    HELD_RENAME,      /* rename waits for HOLD_MS first */
    CONTROLS
};

static const int64_t *control;
static uint64_t state;

/* Maps the control file; without one nothing is changed. */
__attribute__((constructor)) static void start(void) {
    const char *path = getenv("FAULTS_CONTROL");
    if (!path) return;
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return;
    void *at = mmap(NULL, CONTROLS * sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (at == MAP_FAILED) return;
    control = at;
    state = (uint64_t)control[SEED] * 0x9e3779b97f4a7c15u + 0x632be59bd9b4e019u;
}

static int64_t setting(enum control which) { return control ? control[which] : 0; }

static uint64_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int happens(enum control which) {
    int64_t rate = setting(which);
    return rate > 0 && draw() % (uint64_t)rate == 0;
}

static int fail(const int *errors, size_t count) {
    errno = errors[draw() % count];
    return -1;
}
#define FAIL(...) fail((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int is_socket(int fd) {
    struct stat found;
    return fstat(fd, &found) == 0 && S_ISSOCK(found.st_mode);
}

static int is_tcp(int fd) {
    int domain = 0, type = 0;
    socklen_t length = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) != 0) return 0;
    length = sizeof type;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0) return 0;
    return (domain == AF_INET || domain == AF_INET6) && type == SOCK_STREAM;
}

static int is_file(int fd) {
    struct stat found;
    return fd > 2 && fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
}

/* What becomes of a call on a socket: -1 with errno, or how many bytes it may move. */
static ssize_t allowance(int fd, size_t wanted) {
    if (!control || wanted == 0 || !is_socket(fd)) return (ssize_t)wanted;
    if (happens(INTERRUPTED_IO)) {
        errno = EINTR;
        return -1;
    }
    if (!is_tcp(fd)) return (ssize_t)wanted;
    if (happens(BROKEN_IO)) {
        shutdown(fd, SHUT_RDWR);
        return FAIL(ETIMEDOUT, EHOSTUNREACH);
    }
    int64_t most = setting(SHORT_BYTES);
    if (happens(SHORT_IO) && most > 0 && wanted > (size_t)most) return most;
    return (ssize_t)wanted;
}

static void hold(enum control which) {
    if (!happens(which)) return;
    int64_t ms = setting(HOLD_MS);
    struct timespec time = {ms / 1000, ms % 1000 * 1000000};
    nanosleep(&time, NULL);
}

static void hold_send(int fd) {
    if (setting(HELD_SEND) > 0 && is_tcp(fd)) hold(HELD_SEND);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    ssize_t most = allowance(fd, length);
    return most < 0 ? -1 : REAL(recv)(fd, buffer, (size_t)most, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    hold_send(fd);
    ssize_t most = allowance(fd, length);
    return most < 0 ? -1 : REAL(send)(fd, buffer, (size_t)most, flags);
}

static ssize_t vector(int fd, const struct iovec *parts, int count, __typeof__(&readv) real) {
    size_t wanted = 0;
    for (int i = 0; i < count; i++) wanted += parts[i].iov_len;
    ssize_t most = allowance(fd, wanted);
    if (most < 0) return -1;
    if ((size_t)most == wanted) return real(fd, parts, count);
    for (int i = 0; i < count; i++) {
        if (parts[i].iov_len == 0) continue;
        struct iovec part = parts[i];
        if (part.iov_len > (size_t)most) part.iov_len = (size_t)most;
        return real(fd, &part, 1);
    }
    return real(fd, parts, count);
}

ssize_t readv(int fd, const struct iovec *parts, int count) { return vector(fd, parts, count, REAL(readv)); }

ssize_t writev(int fd, const struct iovec *parts, int count) {
    hold_send(fd);
    return vector(fd, parts, count, REAL(writev));
}

ssize_t read(int fd, void *buffer, size_t length) {
    ssize_t most = allowance(fd, length);
    return most < 0 ? -1 : REAL(read)(fd, buffer, (size_t)most);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    if (control && length > 0 && is_file(fd)) {
        if (happens(WRITE_FAILS)) return FAIL(ENOSPC, EIO);
        int dies = happens(KILL_IN_WRITE);
        if (dies || happens(WRITE_HALVES)) {
            ssize_t written = REAL(write)(fd, buffer, (length + 1) / 2);
            if (dies) _exit(137);
            if (length > 1) return written;
            return FAIL(ENOSPC);
        }
    }
    ssize_t most = allowance(fd, length);
    return most < 0 ? -1 : REAL(write)(fd, buffer, (size_t)most);
}

int fsync(int fd) { return happens(SYNC_FAILS) ? FAIL(EIO, ENOSPC) : REAL(fsync)(fd); }

int fdatasync(int fd) { return happens(SYNC_FAILS) ? FAIL(EIO, ENOSPC) : REAL(fdatasync)(fd); }

int rename(const char *from, const char *to) {
    hold(HELD_RENAME);
    return happens(RENAME_FAILS) ? FAIL(EIO, ENOSPC) : REAL(rename)(from, to);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (happens(ACCEPT_FAILS)) return FAIL(ECONNABORTED, ENFILE, EINTR, ENOBUFS, EPROTO);
    return REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (control && is_tcp(fd) && happens(CONNECT_FAILS)) {
        return FAIL(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, EINTR);
    }
    return REAL(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    int internet = domain == AF_INET || domain == AF_INET6;
    if (internet && happens(SOCKET_FAILS)) return FAIL(ENFILE, ENOBUFS, ENOMEM);
    return REAL(socket)(domain, type, protocol);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (happens(INTERRUPTED_WAIT)) return FAIL(EINTR);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int done = REAL(clock_gettime)(clock, time);
    int64_t offset = setting(WALL_OFFSET_MS);
    if (done == 0 && clock == CLOCK_REALTIME && offset != 0) {
        time->tv_sec += offset / 1000;
        time->tv_nsec += offset % 1000 * 1000000;
        if (time->tv_nsec < 0) time->tv_nsec += 1000000000, time->tv_sec--;
        if (time->tv_nsec >= 1000000000) time->tv_nsec -= 1000000000, time->tv_sec++;
    }
    return done;
}
