/** The events that the journal may hold, with what each says; docs/operators/logs.md lists their fields. */

/** What each event means. */
export const journalEvents = {
    "started": "The process has started.",
    "stopping": "The process stops; it takes no new connections and finishes what it has.",
    "stopped": "The process has ended.",
    "settings-reloaded": "Changed settings are in force.",
    "settings-rejected": "Changed settings have faults; the old ones stay in force.",
    "lines-dropped": "Standard output was not read in time, and lines were dropped.",
    "unexpected-error": "An error that no code expects.",
    "store-lost": "The store no longer answers this host.",
    "store-regained": "The store answers this host again.",
    "store-write-retried":
        "A write is repeated with the same content, because its outcome is unknown or it was refused.",
    "config-in-force": "A configuration is in force at this host.",
    "config-rejected": "The stored configuration cannot be read; the old one stays in force.",
    "targets-changed": "Targets came, changed or went.",
    "version-named": "A trainer named a weight version.",
    "conductor-changed": "This host believes in another conductor.",
    "conductor-claimed": "This host is the conductor.",
    "conductor-lost": "This host is no longer the conductor.",
    "conductor-resigned": "This host gave the conductor's duties away.",
    "handover-taken": "A new conductor asked the one before for its results and texts.",
    "standby-passed": "This host passed its copies of results and texts to a new conductor.",
    "version-ordered": "An engine was ordered to change its weights, and how that ended.",
    "order-refused": "An engine refused an order, with its reason.",
    "engine-report": "An engine's own report was read.",
    "target-resting": "A target is left alone for a moment after a fault.",
    "job-kept": "A job is stored and will be run.",
    "job-refused": "A job was refused; nothing of it runs.",
    "job-unsure": "It is not known whether a job is stored.",
    "job-opened": "The conductor begins to run a job.",
    "job-ended": "A job has ended.",
    "task-started": "A task was given to an engine.",
    "task-ended": "A task's run at an engine ended, and how.",
    "results-listed": "Results have their positions.",
    "read-answered": "A read of results could not be answered in full.",
    "host-retired": "A host that is to be emptied holds nothing.",
    "call-attempt": "A call was sent to a target, and how that ended.",
    "call-ended": "A call has its final answer.",
    "readiness-changed": "The host's readiness for callers changed.",
} as const;

/** Names an event. */
export type JournalEvent = keyof typeof journalEvents;
