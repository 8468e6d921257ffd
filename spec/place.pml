/*
 * Places and attempts through the order of the log.
 *
 * One task, two entries, two VMs. Every entry folds the same log at its own
 * pace, may offer a place, and may offer any record twice because an answer
 * was lost. A start may come late and more than once. A VM refuses or takes;
 * what it ran or refused it remembers.
 *
 * Switches that take a rule out:
 *   NO_READBACK  an owner starts a task before it has read its record back
 *   NO_NEXT      the fold takes any attempt number
 *   NO_MEMORY    a VM forgets what it refused and ran
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

/* The fold of each entry. */
typedef Fold { byte next; byte last; bool open; byte vm };
Fold fold[ENTRIES];

/* What each VM knows of each attempt. */
bool running[VMS];
byte ran[ATTEMPTS + 1];

typedef Memory { bool known[ATTEMPTS + 1] };
Memory memory[VMS];

/* A start for an attempt may reach a VM from now on, any number of times. */
typedef Starts { bool sent[ATTEMPTS + 1] };
Starts starts[VMS];

/* A VM's word that an attempt has ended or never will run. */
bool ended[ATTEMPTS + 1];

inline append(k, a, v) {
	log[head].kind = k;
	log[head].attempt = a;
	log[head].vm = v;
	head++
}

/* An entry folds the next record; a place that counts is sent to its VM. */
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
	/* Offer a place from what is known, which may be old. */
	:: atomic { head < LOG && !fold[e].open && fold[e].last < ATTEMPTS ->
		if :: v = 0 :: v = 1 fi;
		append(PLACE, fold[e].last + 1, v);
#ifdef NO_READBACK
		starts[v].sent[fold[e].last + 1] = true;
#endif
		v = 0 }
	/* Offer a close on a VM's word, perhaps more than once. */
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
	/* A start arrives: take it or refuse it for good. */
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
