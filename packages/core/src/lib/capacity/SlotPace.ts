/**
 * How long a slot is occupied for each expected token, from the runs that ended. It includes prompts, slow engines,
 * engines with many runs and runs that were repeated, so that it turns the expected tokens of a step into the slots that
 * the step really takes.
 */

/** Share of the earlier runs that is kept with each completed task: about the last 400 tasks count. */
const keptShare = 0.9975;

/** Number of completed tasks from which the ratio is used. */
const minTasks = 20;

/** Averages the slot time of an expected token. */
export class SlotPace {
    private slotMs = 0;
    private tokens = 0;
    private tasks = 0;

    /** Records that a run occupied a slot, however it ended. */
    recordRun(ms: number): void {
        this.slotMs += ms;
    }

    /** Records that a task with this expected number of tokens has its complete text. */
    recordTask(tokens: number): void {
        this.slotMs *= keptShare;
        this.tokens = this.tokens * keptShare + tokens;
        this.tasks++;
    }

    /** Milliseconds of a slot for each expected token; undefined before enough tasks have been completed. */
    get slotMsPerToken(): number | undefined {
        return this.tasks < minTasks || this.tokens <= 0 ? undefined : this.slotMs / this.tokens;
    }
}
