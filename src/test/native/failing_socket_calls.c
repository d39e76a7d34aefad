/*
 * Makes system calls on sockets fail now and then in the process that preloads this library (LD_PRELOAD). A call that is
 * made to fail has no effect. Files, pipes and event descriptors are left alone.
 *
 * FAILING_SOCKET_CALLS lists what fails, separated by commas: CALL[/SIDE]:ERROR:INTERVAL[:BURST]
 *   CALL      read, write (each with its vector form), connect, accept, socket, epoll_wait, poll, epoll_ctl (its
 *             additions) or setsockopt (options of TCP); or
 *             end: a read at the end of the stream, as if the end had been found by an error that is reported once
 *   SIDE      client: connections that were accepted; other: all others; both if there is none
 *   ERROR     a name of errno.h that is in the table below, or SHORT: at most SHORT_BYTES are read or written
 *   INTERVAL  one in so many matching calls begins a burst
 *   BURST     the number of calls in a row that fail, 1 if there is none
 * FAILING_SOCKET_CALLS_SEED picks the calls at random, with this seed; without it each INTERVAL-th call begins a burst.
 * FAILING_SOCKET_CALLS_SWITCH names a file whose first byte switches the failures on ('1') and off; without it they are on.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

enum { MAX_RULES = 16, MAX_FDS = 65536, SHORT_BYTES = 7, NO_FAILURE = 0, SHORT_TRANSFER = -1 };
enum side { ANY_SIDE, CLIENT_SIDE, OTHER_SIDE };

struct rule {
    char call[16];
    enum side side;
    int error;
    unsigned interval;
    unsigned burst;
    atomic_uint calls;
    atomic_uint burst_left;
};

static struct rule rules[MAX_RULES];
static int rule_count;
static atomic_ullong random_state;
static const volatile char *failure_switch;
static atomic_char accepted[MAX_FDS];

static const struct {
    const char *name;
    int value;
} errors[] = {
    {"EINTR", EINTR},         {"EAGAIN", EAGAIN},             {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM},       {"ENFILE", ENFILE},             {"EMFILE", EMFILE},
    {"ETIMEDOUT", ETIMEDOUT}, {"EHOSTUNREACH", EHOSTUNREACH}, {"ENETUNREACH", ENETUNREACH},
    {"ENETDOWN", ENETDOWN},   {"ECONNABORTED", ECONNABORTED}, {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"ENOSPC", ENOSPC},       {"EPROTO", EPROTO},       {"EPERM", EPERM},               {"ECONNRESET", ECONNRESET},
    {"EPIPE", EPIPE},         {"ECONNREFUSED", ECONNREFUSED}, {"SHORT", SHORT_TRANSFER},
    {"ENOPROTOOPT", ENOPROTOOPT},
};

static void stop(const char *reason) {
    (void)!write(STDERR_FILENO, reason, strlen(reason));
    _exit(3);
}

static int error_named(const char *name) {
    for (size_t i = 0; i < sizeof errors / sizeof errors[0]; i++) {
        if (strcmp(errors[i].name, name) == 0) {
            return errors[i].value;
        }
    }
    stop("failing_socket_calls: unknown error in FAILING_SOCKET_CALLS\n");
    return 0;
}

static void add_rule(char *text) {
    struct rule *rule = &rules[rule_count];
    char *rest = text;
    char *call = strsep(&rest, ":");
    char *error = strsep(&rest, ":");
    char *interval = strsep(&rest, ":");
    char *burst = strsep(&rest, ":");
    if (rule_count == MAX_RULES || interval == NULL || atoi(interval) < 1) {
        stop("failing_socket_calls: malformed FAILING_SOCKET_CALLS\n");
    }
    char *side = strchr(call, '/');
    if (side != NULL) {
        *side++ = '\0';
        rule->side = strcmp(side, "client") == 0 ? CLIENT_SIDE : OTHER_SIDE;
    }
    strncpy(rule->call, call, sizeof rule->call - 1);
    rule->error = error_named(error);
    rule->interval = (unsigned)atoi(interval);
    rule->burst = burst == NULL ? 1 : (unsigned)atoi(burst);
    rule_count++;
}

static void map_switch(const char *path) {
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    void *mapped = fd < 0 ? MAP_FAILED : mmap(NULL, 1, PROT_READ, MAP_SHARED, fd, 0);
    if (mapped == MAP_FAILED) {
        stop("failing_socket_calls: can't map FAILING_SOCKET_CALLS_SWITCH\n");
    }
    close(fd);
    failure_switch = mapped;
}

__attribute__((constructor)) static void load(void) {
    const char *text = getenv("FAILING_SOCKET_CALLS");
    const char *seed = getenv("FAILING_SOCKET_CALLS_SEED");
    const char *path = getenv("FAILING_SOCKET_CALLS_SWITCH");
    if (seed != NULL) {
        random_state = strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ULL + 1;
    }
    if (path != NULL) {
        map_switch(path);
    }
    char *copy = strdup(text == NULL ? "" : text);
    char *rest = copy;
    for (char *rule = strsep(&rest, ","); rule != NULL && *rule != '\0'; rule = strsep(&rest, ",")) {
        add_rule(rule);
    }
    free(copy);
}

/* The generator splitmix64. */
static uint64_t next_random(void) {
    uint64_t z = atomic_fetch_add(&random_state, 0x9E3779B97F4A7C15ULL) + 0x9E3779B97F4A7C15ULL;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
}

static int begins_burst(struct rule *rule) {
    if (random_state != 0) {
        return next_random() % rule->interval == 0;
    }
    return (atomic_fetch_add(&rule->calls, 1) + 1) % rule->interval == 0;
}

static int applies(const struct rule *rule, const char *call, int fd) {
    if (strcmp(rule->call, call) != 0) {
        return 0;
    }
    int from_client = fd >= 0 && fd < MAX_FDS && accepted[fd];
    return rule->side == ANY_SIDE || (rule->side == CLIENT_SIDE) == from_client;
}

/* Returns how the call fails: an error, SHORT_TRANSFER, or NO_FAILURE. */
static int failure_of(const char *call, int fd) {
    if (failure_switch != NULL && *failure_switch != '1') {
        return NO_FAILURE;
    }
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (!applies(rule, call, fd)) {
            continue;
        }
        if (rule->burst_left > 0) {
            rule->burst_left--;
            return rule->error;
        }
        if (begins_burst(rule)) {
            rule->burst_left = rule->burst - 1;
            return rule->error;
        }
    }
    return NO_FAILURE;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int transfer_failure(const char *call, int fd) {
    if (rule_count == 0) {
        return NO_FAILURE;
    }
    int saved = errno;
    int failure = is_socket(fd) ? failure_of(call, fd) : NO_FAILURE;
    errno = saved;
    return failure;
}

static size_t short_size(size_t size) {
    return size < SHORT_BYTES ? size : SHORT_BYTES;
}

static int fail(int error) {
    errno = error;
    return -1;
}

#define REAL(name) ((__typeof__(&name))real(#name))

static void *real(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

static ssize_t end_of_stream(int fd) {
    int failure = transfer_failure("end", fd);
    return failure > 0 ? fail(failure) : 0;
}

ssize_t read(int fd, void *buffer, size_t size) {
    int failure = transfer_failure("read", fd);
    if (failure > 0) {
        return fail(failure);
    }
    ssize_t result = REAL(read)(fd, buffer, failure == SHORT_TRANSFER ? short_size(size) : size);
    return result == 0 && size > 0 ? end_of_stream(fd) : result;
}

ssize_t write(int fd, const void *buffer, size_t size) {
    int failure = transfer_failure("write", fd);
    if (failure > 0) {
        return fail(failure);
    }
    return REAL(write)(fd, buffer, failure == SHORT_TRANSFER ? short_size(size) : size);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    int failure = transfer_failure("read", fd);
    if (failure > 0) {
        return fail(failure);
    }
    if (failure == SHORT_TRANSFER && count > 0) {
        return REAL(read)(fd, parts[0].iov_base, short_size(parts[0].iov_len));
    }
    return REAL(readv)(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    int failure = transfer_failure("write", fd);
    if (failure > 0) {
        return fail(failure);
    }
    if (failure == SHORT_TRANSFER && count > 0) {
        return REAL(write)(fd, parts[0].iov_base, short_size(parts[0].iov_len));
    }
    return REAL(writev)(fd, parts, count);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int failure = failure_of("connect", fd);
    return failure > 0 ? fail(failure) : REAL(connect)(fd, address, length);
}

static int remember_accepted(int fd) {
    if (fd >= 0 && fd < MAX_FDS) {
        accepted[fd] = 1;
    }
    return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    int failure = failure_of("accept", fd);
    return failure > 0 ? fail(failure) : remember_accepted(REAL(accept)(fd, address, length));
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int failure = failure_of("accept", fd);
    return failure > 0 ? fail(failure) : remember_accepted(REAL(accept4)(fd, address, length, flags));
}

int socket(int domain, int type, int protocol) {
    int failure = failure_of("socket", -1);
    if (failure > 0) {
        return fail(failure);
    }
    int fd = REAL(socket)(domain, type, protocol);
    if (fd >= 0 && fd < MAX_FDS) {
        accepted[fd] = 0;
    }
    return fd;
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    int failure = failure_of("epoll_wait", -1);
    return failure > 0 ? fail(failure) : REAL(epoll_wait)(fd, events, count, timeout);
}

int poll(struct pollfd *polled, nfds_t count, int timeout) {
    int failure = failure_of("poll", -1);
    return failure > 0 ? fail(failure) : REAL(poll)(polled, count, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    int failure = operation == EPOLL_CTL_ADD ? transfer_failure("epoll_ctl", fd) : NO_FAILURE;
    return failure > 0 ? fail(failure) : REAL(epoll_ctl)(epoll, operation, fd, event);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    int failure = level == IPPROTO_TCP ? failure_of("setsockopt", fd) : NO_FAILURE;
    return failure > 0 ? fail(failure) : REAL(setsockopt)(fd, level, name, value, length);
}
