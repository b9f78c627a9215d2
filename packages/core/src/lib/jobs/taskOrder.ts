/** The order in which the tasks of a job start: many arrive at once, and the trainer waits for whole groups only. */

import { type GroupId } from "../ids.js";
import { type Job, type Task } from "./Job.js";

/**
 * The tasks in the order in which they run. Of the groups that the trainer waits for, the longest go first. The longest
 * groups beyond that number go last, the shortest of them first, since the trainer probably does not wait for them.
 */
export function orderTasks(job: Job): readonly Task[] {
    const groups = new Map<GroupId, Task[]>();
    for (const task of job.tasks) {
        groups.set(task.group, [...groups.get(task.group) ?? [], task]);
    }
    const all = [...groups.values()];
    const maxTokensOf = (tasks: readonly Task[]): number =>
        Math.max(...tasks.map(task => task.expectedTokens ?? task.tokens));
    const byLength = [...all].sort((a, b) => maxTokensOf(b) - maxTokensOf(a));
    const surplus = new Set(byLength.slice(0, Math.max(0, all.length - job.targetGroups)));
    return [...byLength.filter(tasks => !surplus.has(tasks)), ...byLength.filter(tasks => surplus.has(tasks)).reverse()]
        .flat();
}
