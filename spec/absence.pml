/*
 * A job that was reported absent, and submissions of it that are held.
 *
 * Two entries read the log, each as far as its view. A submission has the position of
 * the view of its entry when it arrived. It is held, and takes effect at any later time and any
 * number of times: by a leader that writes the job under its epoch, or by an append of the
 * entry without the leader, which the fold judges. An append of a leader that has stepped
 * down is carried out as long as no newer leader claimed. A client asks for the job; a
 * leader writes the report of its absence, and the answer follows once the view of the
 * entry is past that. Then no submission that had arrived before the question may take
 * effect, and the job must not have been in the log before the report.
 *
 * Switches, each of which disables one rule:
 *   NO_FOLD    the fold takes candidates from before a report
 *   NO_REJECT  leaders write submissions from before a report
 *   NO_WAIT    the answer does not wait for the view
 *   NO_EPOCH   the log takes appends of an older term
 *   RESTAMP    a rejected submission gets the newest position of the view
 */
#define POSTS 2
#define TERMS 2
#define ASKS 1
#define LIMIT 6

#ifdef NO_FOLD
#define SKIPPED(k) (false)
#else
#define SKIPPED(k) (absent > 0 && absent >= stamp[k])
#endif
#ifdef NO_REJECT
#define REJECTED(i, k) (false)
#else
#define REJECTED(i, k) (known[i] > 0 && known[i] >= stamp[k])
#endif
#ifdef NO_WAIT
#define SEEN (true)
#else
#define SEEN (view[asker] > reported)
#endif
#ifdef NO_EPOCH
#define CURRENT(i) (true)
#define FORGETS(i) skip
#else
#define CURRENT(i) (sent[i] == term)
#define FORGETS(i) flying[i] = 0; which[i] = 0; sent[i] = 0
#endif
#ifdef RESTAMP
#define NEWER(i, k) (true)
#define NEWSTAMP(i, k) view[at[k]]
#else
#define NEWER(i, k) (arrived[k] >= known[i])
#define NEWSTAMP(i, k) known[i] + 1
#endif

/* The log: its end, the newest report and the first record of the job that counts, by
 * offset, 0 for none, and the term. */
byte end = 1;
byte absent = 0;
byte exists = 0;
byte cause = 0;
byte term = 1;

byte view[2] = 1;

/* Leaders: the term in which each leads, 0 for none, the newest report it knows, the
 * append in flight (0 none, 1 a job, 2 a report), its submission and its term. */
byte leads[2] = 0;
byte known[2] = 0;
byte flying[2] = 0;
byte which[2] = 0;
byte sent[2] = 0;

/* Submissions: the entry, 2 before it arrives, the position, the newest report when it
 * arrived, and whether a question came or a 410 was given after that. */
byte at[POSTS] = 2;
byte stamp[POSTS] = 0;
byte arrived[POSTS] = 0;
bool before[POSTS] = false;
bool dead[POSTS] = false;

/* The question: 0 none, 1 asked, 2 report in the log; its entry and the report. */
byte question = 0;
byte asker = 0;
byte reported = 0;
byte asks = 0;

inline effect(k) {
	if
	:: exists == 0 -> exists = end; cause = k; assert(!dead[k])
	:: else
	fi;
	end++
}

#define ARRIVES(e, k) :: atomic { at[k] == 2 -> at[k] = e; stamp[k] = view[e]; arrived[k] = absent }
#define READS(e) :: atomic { view[e] < end -> view[e]++ }
/* An entry appends a candidate, or the log carries one out late. */
#define APPENDS(k) :: atomic { at[k] < 2 && end < LIMIT -> \
	if :: SKIPPED(k) -> end++ :: else -> effect(k) fi }
/* A leader takes a submission. One that arrived after the report is stamped anew. */
#define TAKES(i, k) :: atomic { leads[i] > 0 && flying[i] == 0 && at[k] < 2 && exists == 0 -> \
	if \
	:: REJECTED(i, k) -> if :: NEWER(i, k) -> stamp[k] = NEWSTAMP(i, k) :: else fi \
	:: else -> flying[i] = 1; which[i] = k; sent[i] = leads[i] \
	fi }
#define TAKESQUESTION(i) :: atomic { leads[i] > 0 && flying[i] == 0 && question == 1 -> \
	flying[i] = 2; sent[i] = leads[i] }
/* The log carries out an append of a leader, or refuses it. */
#define CARRIESOUT(i) :: atomic { flying[i] > 0 && end < LIMIT -> \
	if \
	:: CURRENT(i) && flying[i] == 1 -> effect(which[i]) \
	:: CURRENT(i) && flying[i] == 2 -> \
		absent = end; end++; \
		if :: leads[i] > 0 -> known[i] = absent :: else fi; \
		if :: question == 1 && leads[i] > 0 -> question = 2; reported = absent :: else fi \
	:: else -> leads[i] = 0 \
	fi; \
	flying[i] = 0; which[i] = 0; sent[i] = 0 }
/* A leader steps down; its append stays on its way. */
#define STEPSDOWN(i) :: atomic { leads[i] > 0 -> leads[i] = 0; known[i] = 0 }
/* An entry claims; its view includes the claim. */
#define CLAIMS(i) :: atomic { leads[i] == 0 && term < TERMS -> \
	term++; leads[i] = term; known[i] = absent; FORGETS(i) }
/* A client asks at an entry. */
#define ASKED(e) :: atomic { question == 0 && asks < ASKS -> \
	asks++; asker = e; question = 1; before[0] = (at[0] < 2); before[1] = (at[1] < 2) }

active proctype World() {
	leads[0] = 1;
	do
	ARRIVES(0, 0)
	ARRIVES(1, 0)
	ARRIVES(0, 1)
	ARRIVES(1, 1)
	READS(0)
	READS(1)
	APPENDS(0)
	APPENDS(1)
	TAKES(0, 0)
	TAKES(0, 1)
	TAKES(1, 0)
	TAKES(1, 1)
	TAKESQUESTION(0)
	TAKESQUESTION(1)
	CARRIESOUT(0)
	CARRIESOUT(1)
	STEPSDOWN(0)
	STEPSDOWN(1)
	CLAIMS(0)
	CLAIMS(1)
	ASKED(0)
	ASKED(1)
	/* The client is told. */
	:: atomic { question == 2 && SEEN ->
		if
		:: exists > 0 && exists < view[asker] -> skip
		:: else ->
			assert(!(exists > 0 && exists < reported));
			assert(!(exists > 0 && before[cause]));
			if :: before[0] -> dead[0] = true :: else fi;
			if :: before[1] -> dead[1] = true :: else fi
		fi;
		question = 0; reported = 0; asker = 0; before[0] = false; before[1] = false }
	od
}
