/* Fault injection for a process of the soak, loaded by LD_PRELOAD: links that lose, delay
 * or hold up what the process sends, connections that are reset or carry nothing any
 * more, and a wall clock that is wrong. The rules are in a file that the soak changes
 * while the process runs. */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define FILE_VARIABLE "LINKFAULTS_FILE"
#define N_HOSTS 65536 /* by the lower half of the address: a soak has one prefix */
#define MAX_FDS 1024
#define POLL_SLICE_MS 20 /* within which poll () notices that a cut has ended */

/* Calls the function that this file overrides. Other libraries may need it before this
 * one's constructor has run. */
#define CALL_NEXT(name, ...)                                                             \
  ({                                                                                     \
    static __typeof__ (&name) next;                                                      \
    if (next == NULL)                                                                    \
      next = (__typeof__ (&name)) dlsym (RTLD_NEXT, #name);                              \
    next (__VA_ARGS__);                                                                  \
  })

/* LinkFaults in standins.py writes this layout. */
typedef struct
{
  uint8_t cut;       /* datagrams are lost, the bytes of connections wait */
  uint8_t loss;      /* percent of the datagrams that are lost */
  uint16_t delay_ms; /* maximum delay of a datagram */
} Link;

typedef struct
{
  int64_t clock_offset; /* s */
  uint32_t address;     /* of this process, in network byte order */
  uint32_t n_links;     /* number of links with a rule */
  uint32_t n_resets;    /* each change resets the connections to reset_host */
  uint32_t reset_host;
  uint32_t n_silences;    /* each change silences the connections to silenced_host */
  uint32_t silenced_host; /* 0: to all hosts */
  Link links[N_HOSTS];    /* from this process to each host */
} Rules;

typedef struct
{
  int fd;
  useconds_t delay;
  struct sockaddr_in destination;
  size_t length;
  uint8_t data[];
} Delayed;

static Rules no_rules_;
static volatile Rules *rules_ = &no_rules_;
static uint32_t n_resets_;   /* done */
static uint32_t n_silences_; /* done */
/* Connections that carry nothing any more, by descriptor. */
static volatile uint8_t silent_[MAX_FDS];

__attribute__ ((constructor)) static void
load_rules_ (void)
{
  const char *path = getenv (FILE_VARIABLE);
  int fd = path == NULL ? -1 : open (path, O_RDONLY | O_CLOEXEC);
  void *map = mmap (NULL, sizeof (Rules), PROT_READ, MAP_SHARED, fd, 0);

  if (map == MAP_FAILED)
    abort ();
  close (fd);
  rules_ = map;
  n_resets_ = rules_->n_resets;
  n_silences_ = rules_->n_silences;
}

static int
host_ (const struct sockaddr_in *address)
{
  return (int) (ntohl (address->sin_addr.s_addr) % N_HOSTS);
}

/* Returns the host at the other end of a connection, or -1. */
static int
peer_host_ (int fd)
{
  struct sockaddr_in peer = { 0 };
  socklen_t length = sizeof peer;

  if (getpeername (fd, (struct sockaddr *) &peer, &length) < 0
      || peer.sin_family != AF_INET)
    return -1;
  return host_ (&peer);
}

static int
is_held_ (int fd)
{
  int host = rules_->n_links == 0 ? -1 : peer_host_ (fd);

  return host >= 0 && rules_->links[host].cut;
}

/* Marks the connections that are open now; later ones to the same host work. */
static void
silence_connections_ (void)
{
  if (n_silences_ == rules_->n_silences)
    return;
  n_silences_ = rules_->n_silences;
  for (int fd = 0; fd < MAX_FDS; fd++)
    {
      int host = peer_host_ (fd);

      if (host >= 0
          && (rules_->silenced_host == 0 || host == (int) rules_->silenced_host))
        silent_[fd] = 1;
    }
}

static int
is_silent_ (int fd)
{
  silence_connections_ ();
  return fd >= 0 && fd < MAX_FDS && silent_[fd];
}

static void *
send_delayed_ (void *data)
{
  Delayed *delayed = data;

  usleep (delayed->delay);
  sendto (delayed->fd, delayed->data, delayed->length, MSG_DONTWAIT,
          (struct sockaddr *) &delayed->destination, sizeof delayed->destination);
  free (delayed);
  return NULL;
}

static void
delay_ (int fd, const struct msghdr *message, unsigned delay_ms)
{
  const struct iovec *data = message->msg_iov; /* a datagram is one piece */
  Delayed *delayed = malloc (sizeof *delayed + data->iov_len);
  pthread_t thread;

  delayed->fd = fd;
  delayed->delay = (useconds_t) random () % (delay_ms * 1000);
  memcpy (&delayed->destination, message->msg_name, sizeof delayed->destination);
  delayed->length = data->iov_len;
  memcpy (delayed->data, data->iov_base, data->iov_len);
  if (pthread_create (&thread, NULL, send_delayed_, delayed) == 0)
    pthread_detach (thread);
  else
    free (delayed); /* the datagram is lost */
}

int
sendmmsg (int fd, struct mmsghdr *messages, unsigned n, int flags)
{
  if (rules_->n_links == 0)
    return CALL_NEXT (sendmmsg, fd, messages, n, flags);
  for (unsigned i = 0; i < n; i++)
    {
      Link link = rules_->links[host_ (messages[i].msg_hdr.msg_name)];

      if (link.cut || random () % 100 < link.loss)
        continue;
      if (link.delay_ms > 0)
        delay_ (fd, &messages[i].msg_hdr, link.delay_ms);
      else if (CALL_NEXT (sendmmsg, fd, &messages[i], 1, flags) < 0)
        return i > 0 ? (int) i : -1;
    }
  return (int) n;
}

ssize_t
send (int fd, const void *data, size_t length, int flags)
{
  if (is_silent_ (fd))
    return (ssize_t) length;
  if (!is_held_ (fd))
    return CALL_NEXT (send, fd, data, length, flags);
  errno = EAGAIN;
  return -1;
}

ssize_t
recv (int fd, void *data, size_t length, int flags)
{
  if (!is_silent_ (fd))
    return CALL_NEXT (recv, fd, data, length, flags);
  errno = EAGAIN;
  return -1;
}

int
close (int fd)
{
  if (fd >= 0 && fd < MAX_FDS)
    silent_[fd] = 0;
  return CALL_NEXT (close, fd);
}

/* Gives the connection this process's address, by which the other end finds its rule. */
int
connect (int fd, const struct sockaddr *address, socklen_t length)
{
  const struct sockaddr_in own = { .sin_family = AF_INET,
                                   .sin_addr.s_addr = rules_->address };

  if (address->sa_family == AF_INET)
    (void) bind (fd, (const struct sockaddr *) &own, sizeof own); /* or it is bound */
  return CALL_NEXT (connect, fd, address, length);
}

static void
reset_connections_ (void)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  if (n_resets_ == rules_->n_resets)
    return;
  n_resets_ = rules_->n_resets;
  for (int fd = 0; fd < MAX_FDS; fd++)
    if (peer_host_ (fd) == (int) rules_->reset_host)
      CALL_NEXT (connect, fd, &none, sizeof none);
}

/* A connection that a cut holds up is not reported as writable, one that is silent as
 * nothing but writable. */
int
poll (struct pollfd *fds, nfds_t n, int timeout_ms)
{
  short events[n + 1];
  int silent_fds[n + 1];

  for (;;)
    {
      int wait_ms = timeout_ms, n_held = 0, n_ready;

      reset_connections_ ();
      for (nfds_t i = 0; i < n; i++)
        {
          events[i] = fds[i].events;
          silent_fds[i] = is_silent_ (fds[i].fd) ? fds[i].fd : -1;
          if (silent_fds[i] >= 0)
            {
              fds[i].fd = -1;
              if ((events[i] & POLLOUT) != 0)
                wait_ms = 0;
              continue;
            }
          if ((events[i] & POLLOUT) == 0 || !is_held_ (fds[i].fd))
            continue;
          fds[i].events &= (short) ~POLLOUT;
          n_held++;
        }
      if (n_held > 0 && (wait_ms < 0 || wait_ms > POLL_SLICE_MS))
        wait_ms = POLL_SLICE_MS;
      n_ready = CALL_NEXT (poll, fds, n, wait_ms);
      for (nfds_t i = 0; i < n; i++)
        {
          fds[i].events = events[i];
          if (silent_fds[i] < 0)
            continue;
          fds[i].fd = silent_fds[i];
          fds[i].revents = (short) (events[i] & POLLOUT);
          n_ready += fds[i].revents != 0;
        }
      if (n_ready != 0 || wait_ms == timeout_ms)
        return n_ready;
      if (timeout_ms > 0)
        timeout_ms -= wait_ms;
    }
}

int
clock_gettime (clockid_t clock, struct timespec *now)
{
  int result = CALL_NEXT (clock_gettime, clock, now);

  if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)
    now->tv_sec += rules_->clock_offset;
  return result;
}

int
gettimeofday (struct timeval *restrict now, void *restrict zone)
{
  struct timespec precise;
  int result = clock_gettime (CLOCK_REALTIME, &precise);

  TIMESPEC_TO_TIMEVAL (now, &precise);
  return result;
}
