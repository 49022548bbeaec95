/*
 * Makes system calls of the process that it is preloaded into fail in ways that Linux documents, and steps its wall
 * clock. Acts on IPv4 and IPv6 sockets alone. Configured by the environment:
 *
 *   SHIM_SEED          seed of the pseudo-random choices
 *   SHIM_PER_MILLE     of 1000 calls of each kind, how many fail
 *   SHIM_FROM_MS       when the faults begin, after the library has been loaded
 *   SHIM_TO_MS         when they end
 *   SHIM_CLOCK_STEP_S  by how many seconds the wall clock is ahead from SHIM_FROM_MS on
 *   SHIM_COUNTS        file to which the number of faults of each kind is written, as they happen
 *
 * Connections that the process has accepted see only faults after which they can go on (interrupted calls, short reads
 * and writes, no data yet); new connections and accepting may fail altogether.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { FAULT_READ, FAULT_WRITE, FAULT_ACCEPT, FAULT_SOCKET, FAULT_CONNECT, FAULT_KINDS };

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) { \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
    }

static uint64_t seed;
static int per_mille;
static int64_t from_ms;
static int64_t to_ms;
static int64_t clock_step_s;
static int64_t loaded_at_ms;
static _Atomic uint64_t *counts;
static _Atomic uint64_t unshared_counts[FAULT_KINDS];
static _Atomic uint64_t calls;

static int64_t environment_number(const char *name, int64_t otherwise) {
    const char *value = getenv(name);
    return value == NULL ? otherwise : strtoll(value, NULL, 10);
}

static int64_t monotonic_ms(void) {
    struct timespec now;
    static int (*real)(clockid_t, struct timespec *);
    if (real == NULL) {
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    }
    real(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

__attribute__((constructor)) static void load(void) {
    seed = (uint64_t)environment_number("SHIM_SEED", 1);
    per_mille = (int)environment_number("SHIM_PER_MILLE", 0);
    from_ms = environment_number("SHIM_FROM_MS", 0);
    to_ms = environment_number("SHIM_TO_MS", INT64_MAX);
    clock_step_s = environment_number("SHIM_CLOCK_STEP_S", 0);
    loaded_at_ms = monotonic_ms();
    counts = unshared_counts;
    const char *path = getenv("SHIM_COUNTS");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CREAT, 0600);
    if (file >= 0 && ftruncate(file, sizeof unshared_counts) == 0) {
        void *mapped = mmap(NULL, sizeof unshared_counts, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        counts = mapped == MAP_FAILED ? unshared_counts : mapped;
    }
    if (file >= 0) {
        close(file);
    }
}

static uint64_t next_random(void) {
    uint64_t z = seed * 0x9e3779b97f4a7c15u + atomic_fetch_add(&calls, 1) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

static int is_active(void) {
    int64_t age_ms = monotonic_ms() - loaded_at_ms;
    return age_ms >= from_ms && age_ms < to_ms;
}

static int is_internet_socket(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    int saved = errno;
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0;
    errno = saved;
    return known && (domain == AF_INET || domain == AF_INET6);
}

/* Whether this call is to fail; *choice then selects the way. */
static int should_fail(int kind, uint64_t *choice) {
    if (per_mille == 0 || !is_active()) {
        return 0;
    }
    uint64_t random = next_random();
    *choice = random >> 32;
    if ((int)(random % 1000) >= per_mille) {
        return 0;
    }
    atomic_fetch_add(&counts[kind], 1);
    return 1;
}

/* Returns -1 with an error set, 0 if the call is to go on, or 1 if it is to transfer *length bytes at most. */
static int transfer_fault(int kind, int fd, size_t *length) {
    uint64_t choice;
    if (!is_internet_socket(fd) || !should_fail(kind, &choice)) {
        return 0;
    }
    if (choice % 3 == 0) {
        errno = EINTR;
        return -1;
    }
    if (choice % 3 == 1) {
        errno = EAGAIN;
        return -1;
    }
    size_t most = 1 + choice / 3 % 13;
    *length = *length > most ? most : *length;
    return 1;
}

ssize_t read(int fd, void *buffer, size_t length) {
    REAL(read)
    return transfer_fault(FAULT_READ, fd, &length) < 0 ? -1 : real(fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    REAL(write)
    return transfer_fault(FAULT_WRITE, fd, &length) < 0 ? -1 : real(fd, buffer, length);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv)
    size_t length = SIZE_MAX;
    int fault = transfer_fault(FAULT_READ, fd, &length);
    if (fault < 0) {
        return -1;
    }
    return fault > 0 && count > 0 && parts[0].iov_len > length ? read(fd, parts[0].iov_base, length) : real(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev)
    size_t length = SIZE_MAX;
    int fault = transfer_fault(FAULT_WRITE, fd, &length);
    if (fault < 0) {
        return -1;
    }
    return fault > 0 && count > 0 && parts[0].iov_len > length ? write(fd, parts[0].iov_base, length) : real(fd, parts, count);
}

static int accept_fault(void) {
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EINTR};
    uint64_t choice;
    if (!should_fail(FAULT_ACCEPT, &choice)) {
        return 0;
    }
    errno = errors[choice % (sizeof errors / sizeof errors[0])];
    return -1;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept)
    return accept_fault() < 0 ? -1 : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4)
    return accept_fault() < 0 ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket)
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    uint64_t choice;
    if ((domain == AF_INET || domain == AF_INET6) && should_fail(FAULT_SOCKET, &choice)) {
        errno = errors[choice % (sizeof errors / sizeof errors[0])];
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect)
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ENOBUFS, EINTR};
    uint64_t choice;
    if (!is_internet_socket(fd) || !should_fail(FAULT_CONNECT, &choice)) {
        return real(fd, address, length);
    }
    int error = errors[choice % (sizeof errors / sizeof errors[0])];
    if (error == EINTR) {
        real(fd, address, length); /* an interrupted connect goes on in the background */
    }
    errno = error;
    return -1;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime)
    int result = real(clock, now);
    if (clock == CLOCK_REALTIME && clock_step_s != 0 && result == 0 && monotonic_ms() - loaded_at_ms >= from_ms) {
        now->tv_sec += clock_step_s;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    REAL(gettimeofday)
    int result = real(now, zone);
    if (clock_step_s != 0 && result == 0 && monotonic_ms() - loaded_at_ms >= from_ms) {
        now->tv_sec += clock_step_s;
    }
    return result;
}
