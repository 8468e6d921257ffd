/*
 * Placement records and attempts, ordered by the log.
 *
 * One task, two entries, two VMs. Every entry folds the same log at its own
 * pace, may append a placement, and may append any record twice because a
 * response was lost. A start may arrive late and more than once. A VM accepts
 * or refuses it, and remembers the attempts that it ran or refused.
 *
 * Switches, each of which disables one rule:
 *   NO_READBACK  an owner starts a task before it has read its record back
 *   NO_NEXT      the fold accepts any attempt number
 *   NO_MEMORY    a VM forgets which attempts it refused or ran
 *   NO_EVIDENCE  an entry closes an attempt because a start was not answered
 */
#define ENTRIES 2
#define VMS 2
#define LOG 5
#define ATTEMPTS 3

#define PLACE 1
#define CLOSE 2

typedef Record { byte kind; byte attempt; byte vm };
Record log[LOG];
byte head = 0;

/* The folded state of each entry. */
typedef Fold { byte next; byte last; bool open; byte vm };
Fold fold[ENTRIES];

/* What each VM knows of each attempt. */
bool running[VMS];
byte ran[ATTEMPTS + 1];

typedef Memory { bool known[ATTEMPTS + 1] };
Memory memory[VMS];

/* Starts that were sent: each may reach its VM any number of times from then on. */
typedef Starts { bool sent[ATTEMPTS + 1] };
Starts starts[VMS];

/* Whether a VM reported that an attempt has ended or will never run. */
bool ended[ATTEMPTS + 1];

inline append(k, a, v) {
	log[head].kind = k;
	log[head].attempt = a;
	log[head].vm = v;
	head++
}

/* An entry folds the next record; a placement that takes effect is sent to its
 * VM as a start. */
inline step(e) {
	if
	:: log[fold[e].next].kind == PLACE &&
	   !fold[e].open &&
#ifndef NO_NEXT
	   log[fold[e].next].attempt == fold[e].last + 1 &&
#endif
	   true ->
		fold[e].open = true;
		fold[e].last = log[fold[e].next].attempt;
		fold[e].vm = log[fold[e].next].vm;
		starts[fold[e].vm].sent[fold[e].last] = true
	:: log[fold[e].next].kind == CLOSE && fold[e].open && log[fold[e].next].attempt == fold[e].last ->
		fold[e].open = false
	:: else -> skip
	fi;
	fold[e].next++
}

proctype Entry(byte e) {
	byte v;
	do
	:: atomic { fold[e].next < head -> step(e) }
	/* Append a placement based on the folded state, which may be stale. */
	:: atomic { head < LOG && !fold[e].open && fold[e].last < ATTEMPTS ->
		if :: v = 0 :: v = 1 fi;
		append(PLACE, fold[e].last + 1, v);
#ifdef NO_READBACK
		starts[v].sent[fold[e].last + 1] = true;
#endif
		v = 0 }
	/* Append a close on a VM's report, possibly more than once. */
	:: atomic { head < LOG && fold[e].open && ended[fold[e].last] ->
		append(CLOSE, fold[e].last, 0) }
#ifdef NO_EVIDENCE
	:: atomic { head < LOG && fold[e].open && !running[fold[e].vm] ->
		append(CLOSE, fold[e].last, 0) }
#endif
	:: atomic { head == LOG && fold[e].next == head -> break }
	od
}

proctype VM(byte v) {
	byte a;
	byte mine = 0;
	do
	/* A start arrives: accept it, or refuse it permanently. */
	:: atomic { (starts[v].sent[1] || starts[v].sent[2] || starts[v].sent[3]) ->
		if
		:: starts[v].sent[1] -> a = 1
		:: starts[v].sent[2] -> a = 2
		:: starts[v].sent[3] -> a = 3
		fi;
		if
		:: memory[v].known[a] || running[v] -> skip
		:: else ->
#ifndef NO_MEMORY
			memory[v].known[a] = true;
#endif
			if
			:: running[v] = true; mine = a; ran[a]++
			:: ended[a] = true
			fi
		fi;
		a = 0;
		assert(running[0] + running[1] <= 1);
		assert(ran[1] <= 1 && ran[2] <= 1 && ran[3] <= 1) }
	:: atomic { running[v] -> running[v] = false; ended[mine] = true; mine = 0 }
	:: atomic { head == LOG && !running[v] -> break }
	od
}

init {
	atomic {
		run Entry(0);
		run Entry(1);
		run VM(0);
		run VM(1)
	}
}
