/** The events of the journal, with the meaning of each; docs/operators/logs.md lists their fields. */

/** The meaning of each event. */
export const journalEvents = {
    "started": "The process has started.",
    "stopping": "The process stops; it takes no new connections and finishes what it has.",
    "stopped": "The process has ended.",
    "settings-reloaded": "Changed settings are in force.",
    "settings-rejected": "Changed settings are invalid; the previous ones stay in force.",
    "lines-dropped": "Standard output was not read in time, and lines were dropped.",
    "unexpected-error": "An error that no code handles.",
    "store-lost": "The store does not answer this host.",
    "store-regained": "The store answers this host again.",
    "store-write-retried":
        "A write is repeated with the same content, because its outcome is unknown or it was refused.",
    "config-in-force": "A configuration is in force at this host.",
    "config-rejected": "The stored configuration cannot be read; the previous one stays in force.",
    "targets-changed": "Targets were added, changed or removed.",
    "version-named": "A trainer named a weight version.",
    "conductor-changed": "This host follows another conductor.",
    "conductor-claimed": "This host became the conductor.",
    "conductor-lost": "This host lost the conductor's claim.",
    "conductor-resigned": "This host resigned as conductor.",
    "handover-taken": "A new conductor requested the previous conductor's results and texts.",
    "standby-passed": "This host passed its copies of results and texts to a new conductor.",
    "version-ordered": "An engine was ordered to change its weights, and how that ended.",
    "order-refused": "An engine refused an order, with its reason.",
    "engine-report": "An engine's own report was read.",
    "rate-limit-changed": "A target states another rate limit, or none any more.",
    "rate-limit-rejected": "A target stated a rate limit that is not a number; the last valid one stays in force.",
    "target-resting": "A target is not used for a backoff time after a fault.",
    "job-kept": "A job is stored and will be run.",
    "job-refused": "A job was refused; nothing of it runs.",
    "job-unsure": "It is not known whether a job is stored.",
    "job-opened": "The conductor has begun to run a job.",
    "job-ended": "A job has ended.",
    "task-started": "A task's run at an engine has started.",
    "task-ended": "A task's run at an engine ended, and how.",
    "reward-attempt": "A reward call was sent to a target, how that ended, and what follows.",
    "results-listed": "Results are stored at their positions.",
    "read-answered": "A read of results could not be answered in full.",
    "host-retired": "A retiring host holds nothing, and the conductor confirms it.",
    "call-attempt": "A call was sent to a target, and how that ended.",
    "call-ended": "A call has its final answer.",
    "readiness-changed": "The host's readiness for callers changed.",
} as const;

/** Names an event. */
export type JournalEvent = keyof typeof journalEvents;
