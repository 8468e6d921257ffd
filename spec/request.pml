/*
 * Requests that may run only once.
 *
 * One entry and two agents with their upstreams. The entry sends a request
 * over a connection that may break before or after the frame arrives. An agent
 * may refuse, may die, and may leave as planned. The entry tries elsewhere
 * only after an unrun verdict, and tells the caller unrun, unknown or ok.
 * Then the entry's next request begins, and late answers to the first arrive.
 *
 * Switches that take a rule out:
 *   RETRY_UNKNOWN  a broken connection is taken for a reason to try elsewhere
 *   UNRUN_BROKEN   a broken connection is told the caller as unrun
 *   REUSED_NAME    the next request has the name of the one before
 *   RESEND         the agent sends again when its connection to the upstream breaks
 *   STOP_AT_ONCE   an agent that leaves does not wait for what runs
 *   ADMIT_LEAVING  an agent that leaves takes new work
 */
#define AGENTS 2
mtype = { idle, sent, arrived, running, answered, refused, dead };
mtype = { pending, ok, unrun, unknown };

mtype at[AGENTS];           /* where the request is, at each agent */
bool broken[AGENTS];        /* the connection has broken */
bool leaving[AGENTS];
bool stopped[AGENTS];
byte runs = 0;              /* how often the first request ran */
byte admittedLeaving = 0;
mtype told = pending;       /* what the caller of the first request was told */
bool second = false;        /* the next request waits for its answer */
bool mixed = false;         /* the next request got an answer of the first */
bool cut = false;           /* a planned stop cut a request in flight */

proctype Agent(byte a) {
	bool again = false;
	do
	:: atomic { at[a] == sent && !broken[a] && !stopped[a] -> at[a] = arrived }
	:: atomic { at[a] == arrived ->
		if
		:: at[a] = refused
#ifndef ADMIT_LEAVING
		:: !leaving[a] ->
#else
		:: true ->
#endif
			if :: leaving[a] -> admittedLeaving++ :: else fi;
			at[a] = running; runs++
		fi }
#ifdef RESEND
	:: atomic { at[a] == running && !again -> again = true; runs++ }
#endif
	:: atomic { at[a] == running -> at[a] = answered }
	/* The connection breaks, or the agent dies: what runs runs on unseen. */
	:: atomic { at[a] != idle && !broken[a] -> broken[a] = true }
	:: atomic { !leaving[a] -> leaving[a] = true }
	:: atomic { leaving[a] && !stopped[a] &&
#ifndef STOP_AT_ONCE
		at[a] != running &&
#endif
		true ->
		stopped[a] = true;
		if :: at[a] == running && !broken[a] -> cut = true :: else fi }
	:: told != pending && second && (at[a] == idle || at[a] == answered || at[a] == refused || broken[a]) -> break
	od
}

proctype Entry() {
	byte a = 0;
	byte tries = 0;
	do
	:: tries < AGENTS ->
		atomic { tries++; at[a] = sent };
		if
		:: atomic { at[a] == answered && !broken[a] -> told = ok; break }
		:: atomic { at[a] == refused && !broken[a] -> a = 1 - a;
			if :: tries == AGENTS -> told = unrun; break :: else fi }
		:: atomic { broken[a] ->
#ifdef RETRY_UNKNOWN
			a = 1 - a;
			if :: tries == AGENTS -> told = unknown; break :: else fi
#else
#ifdef UNRUN_BROKEN
			told = unrun; break
#else
			told = unknown; break
#endif
#endif
			}
		/* The deadline passes, or the agent stopped before the frame came. */
		:: atomic { true -> told = unknown; break }
		fi
	od;
	/* The next request begins. An answer to the first that comes late is
	 * dropped, because its name is not the next one's. */
	atomic { second = true };
	if
	:: atomic { told == unknown && at[a] == answered && !broken[a] ->
#ifdef REUSED_NAME
		mixed = true;
#endif
		skip }
	:: skip
	fi
}

/* What must always hold, looked at in every state. */
active proctype Watch() {
	end:
	do
	:: atomic { runs > 1 -> assert(false) }
	:: atomic { told == unrun && runs > 0 -> assert(false) }
	:: atomic { told == ok && runs == 0 -> assert(false) }
	:: atomic { mixed -> assert(false) }
	:: atomic { cut -> assert(false) }
	:: atomic { admittedLeaving > 0 -> assert(false) }
	od
}

init {
	atomic {
		at[0] = idle; at[1] = idle;
		run Agent(0); run Agent(1); run Entry()
	}
}
