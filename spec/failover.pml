/* Acknowledgement, minimum positions and change of primary in one database group of
 * three upstreams, with two promoters. Every step may be late or never happen, so
 * partitions, pauses and lost messages need no steps of their own: a paused promoter
 * is one whose next step comes after any other steps, and an isolated primary is one
 * whose reports and followers never arrive.
 *
 * Assertions:
 *   - A term comes into service only if its primary has every write that was
 *     acknowledged in a lower term: no acknowledged write is lost.
 *   - No write is acknowledged while a higher term that lacks it is in service: an
 *     old primary acknowledges nothing.
 *   - A minimum position that is requested after an acknowledgement includes the
 *     acknowledged write, and a read at that position sees it: a session that
 *     changes to another daemon reads its own writes.
 *
 * The reports that a home has received from the members are not modelled. A home may
 * count anything that a member has ever reported, and so anything that is in the
 * member's log now, which allows more behaviours than the program has. A term is in
 * service once a follower has joined it.
 *
 * Each of the macros NO_MAJORITY, NO_CONFIRM, NO_PREFIX, NO_SERVICE and BY_TERM
 * disables one rule; the checker must then report an error.
 */

#ifndef MAXLEN
#define MAXLEN 2                 /* maximum length of a log, in entries */
#endif
#ifndef MAXNUM
#define MAXNUM 3                 /* highest term number */
#endif

#define TERM(num, owner) ((num) * 4 + (owner))
#define NUM(t)           ((t) / 4)
#define ENT(n, i)        ent[(n) * MAXLEN + (i)]
/* term of the newest log entry of upstream n; 0 if the log is empty */
#define LAST(n)          (size[n] == 0 -> 0 : ENT(n, size[n] - 1))
/* upstream n has the entry of term t at offset l */
#define HAS(n, t, l)     (size[n] >= (l) && ENT(n, (l) - 1) == (t))
/* upstream n has the tracked acknowledged write */
#define HOLDS(n)         HAS(n, ackTerm, ackLen)
/* the log of f is a prefix of the log of p */
#define PREFIX(f, p)     (size[f] <= size[p] && \
	(size[f] < 1 || ENT(f, 0) == ENT(p, 0)) && (size[f] < 2 || ENT(f, 1) == ENT(p, 1)))

byte term[3];                    /* current term of the upstream */
bool leads[3];                   /* it considers itself the primary */
bool served[3];                  /* a majority has joined the term that it leads */
byte size[3];                    /* length of its log */
byte ent[3 * MAXLEN];            /* term of each entry */

/* One acknowledged write, chosen nondeterministically, is tracked. */
byte ackTerm;
byte ackLen;

/* One session that changes to another daemon after that write was acknowledged. */
byte asked;                      /* minimum position: 0 not requested, 1 requested, 2 confirmed */
byte floorAt;                    /* the primary that reported the position */
byte floorT;                     /* term of the position */
byte floorL;                     /* offset of the position */
bool floorHas;                   /* that primary had the write at that time */

/* State of each promoter: the best candidate among the members read so far. */
byte seen[2];                    /* bit mask of the members read */
byte best[2];
byte bestT[2];                   /* term of the candidate */
byte bestE[2];                   /* term of its newest entry */
byte bestL[2];                   /* length of its log */
byte top[2];                     /* highest term read */

#define WRITE(n) \
	:: d_step { leads[n] && (served[n] || NOSERVICE) && size[n] < MAXLEN -> \
		ENT(n, size[n]) = term[n]; size[n]++ }

#define REPLICATE(f, p) \
	:: d_step { leads[p] && !leads[f] && term[f] == term[p] && size[f] < size[p] -> \
		assert(PREFIX(f, p)); ENT(f, size[f]) = ENT(p, size[f]); size[f]++ }

/* p is in service in a term above t and lacks the entry of term t at offset l */
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

/* promoter k has read a majority */
#define TWO(k) (seen[k] == 3 || seen[k] == 5 || seen[k] >= 6)

/* The promotion may arrive late or never. It is conditional on the candidate's term
 * as it was read. */
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
