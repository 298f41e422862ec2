/* Acknowledgement, floors and change of primary in one database group of three
 * upstreams, with two promoters. Every step may be late or never come, so that
 * partitions, pauses and lost messages need no steps of their own: a promoter
 * that pauses is one whose next step comes after any others, and an isolated
 * primary is one whose reports and followers never come.
 *
 * What is checked, as assertions:
 *   - a term comes into service only if its primary holds what was acknowledged
 *     in lower terms (nothing acknowledged is lost);
 *   - nothing is acknowledged while a higher term that lacks it is in service
 *     (no write is acknowledged by an old primary);
 *   - a floor asked for after an acknowledgement includes it, and a read at the
 *     floor sees it (read-your-writes after roaming).
 *
 * What a home knows of the members is not kept: it may count whatever a member
 * ever reported, and so whatever the member's log holds now; that allows more
 * than the program does. A term is in service once a follower has joined it.
 *
 * The macros NO_MAJORITY, NO_CONFIRM, NO_PREFIX, NO_SERVICE and BY_TERM each
 * break one rule; the checker must then find an error.
 */

#ifndef MAXLEN
#define MAXLEN 2                 /* entries in a log */
#endif
#ifndef MAXNUM
#define MAXNUM 3                 /* highest number of a term */
#endif

#define TERM(num, owner) ((num) * 4 + (owner))
#define NUM(t)           ((t) / 4)
#define ENT(n, i)        ent[(n) * MAXLEN + (i)]
/* term of the newest entry of a log */
#define LAST(n)          (size[n] == 0 -> 0 : ENT(n, size[n] - 1))
/* the upstream has the entry of a term at an offset */
#define HAS(n, t, l)     (size[n] >= (l) && ENT(n, (l) - 1) == (t))
/* the upstream has the acknowledged write that is followed */
#define HOLDS(n)         HAS(n, ackTerm, ackLen)
#define PREFIX(f, p)     (size[f] <= size[p] && \
	(size[f] < 1 || ENT(f, 0) == ENT(p, 0)) && (size[f] < 2 || ENT(f, 1) == ENT(p, 1)))

byte term[3];                    /* term that the upstream is in */
bool leads[3];                   /* it believes that it leads */
bool served[3];                  /* a majority has been in the term it leads */
byte size[3];                    /* length of its log */
byte ent[3 * MAXLEN];            /* term of each entry */

/* One acknowledged write, picked at random, is followed. */
byte ackTerm;
byte ackLen;

/* One session that roams after that write was acknowledged. */
byte asked;                      /* 0: not yet, 1: asking, 2: has its floor */
byte floorAt;                    /* the primary that was asked */
byte floorT;
byte floorL;
bool floorHas;                   /* it held the write when it was asked */

/* Promoters: the best candidate among the members read so far. */
byte seen[2];                    /* members read, as bits */
byte best[2];
byte bestT[2];                   /* its term */
byte bestE[2];                   /* term of its newest entry */
byte bestL[2];                   /* length of its log */
byte top[2];                     /* highest term read */

#define WRITE(n) \
	:: d_step { leads[n] && (served[n] || NOSERVICE) && size[n] < MAXLEN -> \
		ENT(n, size[n]) = term[n]; size[n]++ }

#define REPLICATE(f, p) \
	:: d_step { leads[p] && !leads[f] && term[f] == term[p] && size[f] < size[p] -> \
		assert(PREFIX(f, p)); ENT(f, size[f]) = ENT(p, size[f]); size[f]++ }

#define LACKS(p, t, l) (served[p] && leads[p] && term[p] > (t) && !HAS(p, t, l))

#define ACKNOWLEDGE(n, o, q, l) \
	:: d_step { leads[n] && ackLen == 0 && HAS(n, term[n], l) && \
		(HAS(o, term[n], l) || HAS(q, term[n], l) || NOMAJORITY) -> \
		assert(!LACKS(o, term[n], l) && !LACKS(q, term[n], l)); \
		ackTerm = term[n]; ackLen = l }

#define ASK(n) \
	:: d_step { ackLen > 0 && asked == 0 && leads[n] && served[n] -> \
		asked = 1; floorAt = n; floorT = term[n]; floorL = size[n]; floorHas = HOLDS(n) }

#define CONFIRM(f) \
	:: d_step { asked == 1 && f != floorAt && (term[f] == floorT || NOCONFIRM) -> \
		assert(floorHas); asked = 2; floorAt = 0; floorHas = false }

#define READ(r) \
	:: d_step { asked == 2 && term[r] == floorT && size[r] >= floorL && !HOLDS(r) -> assert(false) }

#define LOOK(k, m) \
	:: d_step { !(seen[k] & (1 << m)) -> \
		if \
		:: seen[k] == 0 || NEWEST(m) > bestE[k] || (NEWEST(m) == bestE[k] && size[m] > bestL[k]) -> \
			best[k] = m; bestT[k] = term[m]; bestE[k] = NEWEST(m); bestL[k] = size[m] \
		:: else \
		fi; \
		seen[k] = seen[k] | (1 << m); \
		top[k] = (term[m] > top[k] -> term[m] : top[k]) }

#define TWO(k) (seen[k] == 3 || seen[k] == 5 || seen[k] >= 6)

/* The order comes late or not at all: it depends on the term that was read. */
#define PROMOTE(k) \
	:: d_step { TWO(k) && NUM(top[k]) < MAXNUM -> \
		if \
		:: term[best[k]] == bestT[k] -> \
			term[best[k]] = TERM(NUM(top[k]) + 1, best[k]); \
			leads[best[k]] = true; served[best[k]] = false \
		:: else \
		fi; \
		seen[k] = 0; best[k] = 0; bestT[k] = 0; bestE[k] = 0; bestL[k] = 0; top[k] = 0 }

#define FOLLOW(f, p) \
	:: d_step { leads[p] && term[p] > term[f] && (PREFIX(f, p) || NOPREFIX) -> \
		do \
		:: !PREFIX(f, p) -> size[f]--; ENT(f, size[f]) = 0 \
		:: else -> break \
		od; \
		term[f] = term[p]; leads[f] = false; served[f] = false; \
		if \
		:: !served[p] -> served[p] = true; \
			assert(ackLen == 0 || ackTerm >= term[p] || HOLDS(p)) \
		:: else \
		fi }

#ifdef NO_SERVICE
#define NOSERVICE true
#else
#define NOSERVICE false
#endif
#ifdef NO_MAJORITY
#define NOMAJORITY true
#else
#define NOMAJORITY false
#endif
#ifdef NO_CONFIRM
#define NOCONFIRM true
#else
#define NOCONFIRM false
#endif
#ifdef NO_PREFIX
#define NOPREFIX true
#else
#define NOPREFIX false
#endif
#ifdef BY_TERM
#define NEWEST(m) term[m]
#else
#define NEWEST(m) LAST(m)
#endif

active proctype group() {
	d_step {
		term[0] = TERM(1, 0); term[1] = TERM(1, 0); term[2] = TERM(1, 0);
		leads[0] = true; served[0] = true
	}
	do
	WRITE(0) WRITE(1) WRITE(2)
	REPLICATE(0, 1) REPLICATE(0, 2) REPLICATE(1, 0) REPLICATE(1, 2) REPLICATE(2, 0) REPLICATE(2, 1)
	ACKNOWLEDGE(0, 1, 2, 1) ACKNOWLEDGE(1, 0, 2, 1) ACKNOWLEDGE(2, 0, 1, 1)
	ACKNOWLEDGE(0, 1, 2, 2) ACKNOWLEDGE(1, 0, 2, 2) ACKNOWLEDGE(2, 0, 1, 2)
	ASK(0) ASK(1) ASK(2)
	CONFIRM(0) CONFIRM(1) CONFIRM(2)
	:: d_step { asked == 1 -> asked = 0; floorAt = 0; floorT = 0; floorL = 0; floorHas = false }
	READ(0) READ(1) READ(2)
	LOOK(0, 0) LOOK(0, 1) LOOK(0, 2) LOOK(1, 0) LOOK(1, 1) LOOK(1, 2)
	PROMOTE(0) PROMOTE(1)
	FOLLOW(0, 1) FOLLOW(0, 2) FOLLOW(1, 0) FOLLOW(1, 2) FOLLOW(2, 0) FOLLOW(2, 1)
	od
}
