/** Measures the slots that a service's jobs need, from the open jobs of this host and the recent steps of their models. */

import {
    after,
    type CapacityDemand,
    type Clock,
    DemandWindow,
    type Instant,
    type JobScheduler,
    type OpenJob,
    type OpenWork,
    type ServiceId,
    slotsOfOpenWork,
    StepForecast,
    type Task,
} from "@tamarackpath/core";

/** Share of its work that a running task has left, on average. */
const runningLeftShare = 0.5;

/** Measures demand, by service. */
export class CapacityDemandMeter {
    private readonly forecasts = new Map<ServiceId, StepForecast>();
    private readonly windows = new Map<ServiceId, DemandWindow>();

    /** `slotMsPerToken` is undefined while it has not been measured. */
    constructor(
        private readonly scheduler: JobScheduler,
        private readonly slotMsPerToken: () => number | undefined,
        private readonly clock: Clock,
    ) {}

    /** Records a step that this host has opened. */
    recordStep({ job, terms }: OpenJob): void {
        const forecast = this.forecasts.get(terms.service) ?? new StepForecast();
        this.forecasts.set(terms.service, forecast);
        const tokens = job.tasks.reduce((sum, task) => sum + expectedTokens(task), 0);
        forecast.record({ model: job.model, submittedAt: job.submittedAt, tokens });
    }

    /** The demand of a service with `servingSlots` slots; undefined while it cannot be measured. */
    measure(service: ServiceId, servingSlots: number): CapacityDemand | undefined {
        const slotMsPerToken = this.slotMsPerToken();
        if (slotMsPerToken === undefined) {
            return undefined;
        }
        const now = this.clock.now();
        // Submission and due times are wall-clock times of other hosts, so they are compared with this host's wall clock.
        const wallNow = Date.now() as Instant;
        const forecast = this.forecasts.get(service);
        const jobs = this.scheduler.open.filter(({ terms }) => terms.service === service);
        const open = jobs.map(job => {
            const nextStepAt = job.job.submittedAt + (forecast?.intervalMs(job.job.model) ?? Infinity);
            return openWork(job, after(now, Math.min(job.terms.dueAt, nextStepAt) - wallNow));
        });
        const ofOpenWork = slotsOfOpenWork(open, slotMsPerToken, now);
        const ofSteps = (forecast?.tokensPerMs(wallNow) ?? 0) * slotMsPerToken;
        const slots = Math.max(ofOpenWork, ofSteps);
        const window = this.windows.get(service) ?? new DemandWindow();
        this.windows.set(service, window);
        window.record(slots, now);
        return {
            slots,
            peakSlots: window.peak(now),
            isPeakCertain: window.isFull(now),
            busySlots: jobs.reduce((sum, { running }) => sum + running.size, 0),
            isLate: ofOpenWork > servingSlots || open.some(({ wantedAt, tasks }) => wantedAt <= now && tasks > 0),
        };
    }
}

function openWork({ waiting, running }: OpenJob, wantedAt: Instant): OpenWork {
    const tokensOf = (runs: Iterable<{ readonly task: Task; }>): number =>
        [...runs].reduce((sum, { task }) => sum + expectedTokens(task), 0);
    return {
        wantedAt,
        tasks: waiting.length + running.size,
        tokens: tokensOf(waiting) + tokensOf(running) * runningLeftShare,
        longestTokens: Math.max(0, ...[...waiting, ...running].map(({ task }) => expectedTokens(task))),
    };
}

/** Tokens that a task is expected to take, as the measured pace counts them. */
function expectedTokens({ expectedTokens: expected, tokens }: Task): number {
    return expected ?? tokens;
}
