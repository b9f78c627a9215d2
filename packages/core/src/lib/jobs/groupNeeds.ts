/**
 * Which groups of a step the trainer needs: it waits for a number of complete groups, about 90% of them. Needed are the
 * groups with the least work left, up to the number that is still missing; the others are surplus.
 */

import { type GroupId } from "../ids.js";
import { type OpenJob, type TaskRun } from "./JobScheduler.js";

/** What a step still takes until enough of its groups are complete, in events. */
export interface GroupNeeds {
    /** The groups that the trainer waits for and that have unfinished tasks. */
    readonly needed: ReadonlySet<GroupId>;
    /** Events that the needed tasks have left together. */
    readonly eventsLeft: number;
    /** Events that the longest needed task has left. */
    readonly longestLeft: number;
    /** Number of needed tasks without a complete text. */
    readonly tasks: number;
}

interface GroupWork {
    readonly group: GroupId;
    eventsLeft: number;
    longestLeft: number;
    tasks: number;
}

/** The needs of a job; `leftOf` estimates the events that a run has left. */
export function needsOf(open: OpenJob, leftOf: (run: TaskRun) => number): GroupNeeds {
    const works = new Map<GroupId, GroupWork>();
    const workOf = (group: GroupId): GroupWork => {
        let work = works.get(group);
        if (work === undefined) {
            work = { group, eventsLeft: 0, longestLeft: 0, tasks: 0 };
            works.set(group, work);
        }
        return work;
    };
    for (const runs of [open.waiting, open.running]) {
        for (const run of runs) {
            const work = workOf(run.task.group);
            const left = leftOf(run);
            work.eventsLeft += left;
            work.longestLeft = Math.max(work.longestLeft, left);
            work.tasks++;
        }
    }
    open.scoring.forEach(({ task }) => workOf(task.group));
    const unfinishedOrFailed = new Set([...works.keys(), ...open.failedGroups]);
    const missing = open.job.targetGroups - (open.groupCount - unfinishedOrFailed.size);
    const needed = [...works.values()]
        .filter(({ group }) => !open.failedGroups.has(group))
        .sort((a, b) => a.eventsLeft - b.eventsLeft)
        .slice(0, Math.max(0, missing));
    return {
        needed: new Set(needed.map(({ group }) => group)),
        eventsLeft: needed.reduce((sum, { eventsLeft }) => sum + eventsLeft, 0),
        longestLeft: needed.reduce((longest, { longestLeft }) => Math.max(longest, longestLeft), 0),
        tasks: needed.reduce((sum, { tasks }) => sum + tasks, 0),
    };
}
