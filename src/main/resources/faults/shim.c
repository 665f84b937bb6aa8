/*
 * Preloaded into a process under test (LD_PRELOAD). Makes system calls fail at random with errors that Linux documents
 * for them, shortens socket transfers, and shifts the wall clock. Environment variables:
 *   SHIM_SEED     seed of the random numbers
 *   SHIM_FAILURES failing calls per 10,000
 *   SHIM_CLOCK    file with a signed 64-bit wall-clock offset in nanoseconds; mapped at startup, read at each call
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t random_state;
static unsigned failures_per_10000;
static volatile int64_t *clock_offset_nanos;

__attribute__((constructor)) static void configure(void)
{
    const char *seed = getenv("SHIM_SEED");
    const char *rate = getenv("SHIM_FAILURES");
    const char *clock_file = getenv("SHIM_CLOCK");
    random_state = seed ? strtoull(seed, NULL, 10) * 2 + 1 : 1;
    failures_per_10000 = rate ? (unsigned) strtoul(rate, NULL, 10) : 0;
    if (clock_file) {
        int fd = open(clock_file, O_RDONLY);
        if (fd >= 0) {
            void *page = mmap(NULL, sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
            clock_offset_nanos = page == MAP_FAILED ? NULL : page;
            close(fd);
        }
    }
}

static uint64_t next_random(void)
{
    uint64_t x = __atomic_add_fetch(&random_state, 0x9e3779b97f4a7c15u, __ATOMIC_RELAXED);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

/* Returns a random one of the errors, or 0 if the call is not to fail. */
static int random_error(const int *errors, unsigned count)
{
    uint64_t random = next_random();
    return random % 10000 < failures_per_10000 ? errors[(random >> 32) % count] : 0;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) { real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name); }

#define FAIL_AT_RANDOM(...) \
    do { \
        static const int errors[] = {__VA_ARGS__}; \
        int error = random_error(errors, sizeof errors / sizeof *errors); \
        if (error) { errno = error; return -1; } \
    } while (0)

static int is_stream(int fd)
{
    int kind;
    socklen_t size = sizeof kind;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_STREAM;
}

int socket(int domain, int type, int protocol)
{
    REAL(socket)
    if (domain == AF_INET || domain == AF_INET6) { FAIL_AT_RANDOM(ENFILE, ENOBUFS, EMFILE, ENOMEM); }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    REAL(connect)
    FAIL_AT_RANDOM(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT);
    return real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(accept4)
    FAIL_AT_RANDOM(ECONNABORTED, ENFILE, ENOBUFS, EINTR);
    return real(fd, address, size, flags);
}

ssize_t read(int fd, void *buffer, size_t count)
{
    REAL(read)
    if (failures_per_10000 && count > 1 && is_stream(fd)) {
        FAIL_AT_RANDOM(EINTR);
        if (next_random() % 10000 < failures_per_10000 * 10) { count = 1 + next_random() % 16 % count; }
    }
    return real(fd, buffer, count);
}

ssize_t recv(int fd, void *buffer, size_t count, int flags)
{
    REAL(recv)
    if (failures_per_10000 && count > 1) {
        FAIL_AT_RANDOM(EINTR);
        if (next_random() % 10000 < failures_per_10000 * 10) { count = 1 + next_random() % 16 % count; }
    }
    return real(fd, buffer, count, flags);
}

ssize_t write(int fd, const void *buffer, size_t count)
{
    REAL(write)
    if (failures_per_10000 && count > 1 && is_stream(fd)) {
        FAIL_AT_RANDOM(EINTR, ENOBUFS);
        if (next_random() % 10000 < failures_per_10000 * 10) { count = 1 + next_random() % 16 % count; }
    }
    return real(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    REAL(writev)
    if (failures_per_10000 && is_stream(fd)) {
        FAIL_AT_RANDOM(EINTR);
        if (count > 1 && next_random() % 10000 < failures_per_10000 * 10) { count = 1; }
    }
    return real(fd, parts, count);
}

ssize_t send(int fd, const void *buffer, size_t count, int flags)
{
    REAL(send)
    if (failures_per_10000 && count > 1) {
        FAIL_AT_RANDOM(EINTR, ENOBUFS);
        if (next_random() % 10000 < failures_per_10000 * 10) { count = 1 + next_random() % 16 % count; }
    }
    return real(fd, buffer, count, flags);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    REAL(clock_gettime)
    int result = real(clock, time);
    if (result == 0 && clock_offset_nanos && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t now = (int64_t) time->tv_sec * 1000000000 + time->tv_nsec + *clock_offset_nanos;
        time->tv_sec = now / 1000000000;
        time->tv_nsec = now % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone)
{
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}
