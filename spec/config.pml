/*
 * Configuration: concurrent changes, lost responses, snapshots and retention.
 *
 * Two operators publish one declaration, each based on the version that it has
 * read. A batch may be appended twice, since a writer that gets no response
 * repeats it under the same number. The log truncates records that a snapshot
 * covers. Each process folds the log, and restarts from a snapshot or, while
 * the log is down, from a peer's state. A drain record is not based on a
 * version, so only its batch number guards it against being applied twice.
 *
 * Switches, each of which disables one rule:
 *   NO_BASE      the fold accepts a change based on an older version
 *   NO_NUMBER    the fold applies a batch that its writer repeated
 *   CUT_EARLY    the log truncates records that no snapshot covers
 *   GO_BACK      a process adopts a peer's state although its own is newer
 */
#define LOG 6
#define CHANGE 1
#define DRAIN 2
#define UNDRAIN 3

typedef Record { byte kind; byte writer; byte base; byte value };
Record log[LOG];
byte head = 0;
byte oldest = 0;

/* Folded state: next offset, version and value in force, whether and how often
 * drained, and which writers' batches were applied. */
typedef Fold { byte next; byte version; byte value; bool drained; byte drains; bool seen[4] };
Fold state[2];
Fold snapshot;

/* The last change that was applied, as the first process to fold it records. */
byte lastValue = 0;
byte lastVersion = 0;
byte told[2];

inline append(k, w, b, v) {
	log[head].kind = k;
	log[head].writer = w;
	log[head].base = b;
	log[head].value = v;
	head++
}

inline step(p) {
	byte w = log[state[p].next].writer;
	if
#ifndef NO_NUMBER
	:: state[p].seen[w] -> skip
#endif
	:: else ->
		state[p].seen[w] = true;
		if
		:: log[state[p].next].kind == CHANGE &&
#ifndef NO_BASE
		   log[state[p].next].base == state[p].version &&
#endif
		   true ->
			/* A change that is applied was based on the version before it. */
			assert(log[state[p].next].base == state[p].version);
			state[p].version = state[p].next + 1;
			state[p].value = log[state[p].next].value;
			if
			:: state[p].version > lastVersion ->
				lastVersion = state[p].version;
				lastValue = state[p].value
			:: else
			fi
		:: log[state[p].next].kind == DRAIN ->
			state[p].drained = true;
			state[p].drains++;
			assert(state[p].drains <= 1)
		:: log[state[p].next].kind == UNDRAIN -> state[p].drained = false
		:: else -> skip
		fi
	fi;
	state[p].next++;
	w = 0
}

inline copy(to, from) {
	to.next = from.next; to.version = from.version; to.value = from.value;
	to.drained = from.drained; to.drains = from.drains;
	to.seen[0] = from.seen[0]; to.seen[1] = from.seen[1]; to.seen[2] = from.seen[2]; to.seen[3] = from.seen[3]
}

proctype Process(byte p) {
	byte before;
	do
	:: atomic { state[p].next < head && state[p].next >= oldest ->
		before = state[p].next; step(p); assert(state[p].next >= before); before = 0 }
	/* The next record was truncated: continue from the snapshot. */
	:: atomic { state[p].next < oldest && snapshot.next > state[p].next -> copy(state[p], snapshot) }
	:: atomic { state[p].next > snapshot.next -> copy(snapshot, state[p]) }
	/* Adopt the peer's state. */
	:: atomic {
#ifndef GO_BACK
		state[p].next < state[1 - p].next ->
#else
		state[p].next != state[1 - p].next ->
#endif
		before = state[p].next;
		copy(state[p], state[1 - p]);
		assert(state[p].next >= before); before = 0 }
	:: atomic { head == LOG && state[p].next == head -> break }
	od;
	/* At the end, every process has the last change that was applied. */
	assert(state[p].version == lastVersion && state[p].value == lastValue)
}

proctype Operator(byte w) {
	byte base;
	base = state[w].version;
	atomic { append(CHANGE, w, base, w + 1) };
	/* The response may be lost: the same batch is appended again. */
	atomic { if :: append(CHANGE, w, base, w + 1) :: skip fi }
}

proctype Drainer() {
	atomic { append(DRAIN, 2, 0, 0) };
	atomic { if :: head < LOG -> append(DRAIN, 2, 0, 0) :: skip fi }
}

/* Fills the log, so that the other processes terminate. */
proctype Filler() {
	do
	:: atomic { _nr_pr <= 5 && head < LOG -> append(UNDRAIN, 3, 0, 0) }
	:: head == LOG -> break
	od
}

proctype Log() {
	do
	:: atomic { oldest < head &&
#ifndef CUT_EARLY
		oldest < snapshot.next &&
#endif
		true -> oldest++ }
	:: head == LOG -> break
	od
}

init {
	atomic {
		run Process(0); run Process(1);
		run Filler(); run Log();
		run Operator(0); run Operator(1); run Drainer()
	};
	/* When no process can take a step, every process has folded the whole log. */
	atomic { timeout -> assert(state[0].next == head && state[1].next == head) }
}
