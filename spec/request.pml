/*
 * Requests that must not run more than once.
 *
 * One entry and two agents with their upstreams. The entry sends a request
 * over a connection that may break before or after the frame arrives. An agent
 * may refuse the request, crash, or stop as planned. The entry retries on the
 * other agent only after the verdict unrun, and returns unrun, unknown or ok to
 * the caller. Then the entry sends its next request, while late responses to
 * the first may still arrive.
 *
 * Switches, each of which disables one rule:
 *   RETRY_UNKNOWN  the entry retries on the other agent when a connection breaks
 *   UNRUN_BROKEN   a broken connection is reported to the caller as unrun
 *   REUSED_NAME    the next request has the id of the one before
 *   RESEND         the agent resends when its connection to the upstream breaks
 *   STOP_AT_ONCE   a stopping agent does not wait for running requests
 *   ADMIT_LEAVING  a stopping agent accepts new requests
 */
#define AGENTS 2
mtype = { idle, sent, arrived, running, answered, refused, dead };
mtype = { pending, ok, unrun, unknown };

mtype at[AGENTS];           /* state of the request at each agent */
bool broken[AGENTS];        /* the connection has broken */
bool leaving[AGENTS];
bool stopped[AGENTS];
byte runs = 0;              /* how often the first request ran */
byte admittedLeaving = 0;
mtype told = pending;       /* the verdict that the first caller got */
bool second = false;        /* the next request waits for its response */
bool mixed = false;         /* the next request got a response to the first */
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
	/* The connection breaks or the agent crashes: a running request continues
	 * at the upstream unobserved. */
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
		/* The deadline passes, or the agent stopped before the frame arrived. */
		:: atomic { true -> told = unknown; break }
		fi
	od;
	/* The next request begins. A late response to the first is dropped, because
	 * its id is not that of the next one. */
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

/* Invariants, checked in every state. */
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
