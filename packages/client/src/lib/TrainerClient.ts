/**
 * The trainer's side of exactly-once delivery. It advances its cursor only together with the samples, drops answers to
 * a cursor that it has moved past, and submits the step again when a new owner needs it.
 */

import {
    type Problem,
    type ProblemType,
    type Sample,
    type StepPullResponse,
    type StepStatus,
} from "@tamarackpath/core";
import { type Either } from "purify-ts";
import { type Dispatcher } from "undici";
import { callApi } from "./callApi.js";
import { HostRotation } from "./HostRotation.js";

/** Where and as whom the trainer calls. */
export interface TrainerOptions {
    /** Addresses of entry hosts or of the balancer, such as `http://127.0.0.1:7100`. */
    readonly urls: readonly string[];
    readonly service: string;
    readonly token: string;
    readonly dispatcher?: Dispatcher;
    /** Milliseconds that one pull may wait at the host. */
    readonly pullWaitMs?: number;
    /** Milliseconds without an answer after which a pull is tried through another host. */
    readonly pullTimeoutMs?: number;
}

/** A step as the trainer states it. */
export interface StepRequest {
    readonly weightVersion: number;
    readonly stalenessBound?: number;
    /** Milliseconds since the Unix epoch. */
    readonly deadline: number;
    readonly groups: readonly {
        readonly group: string;
        readonly prompt: string;
        readonly samples: number;
        readonly maxTokens: number;
        readonly seed: number;
    }[];
}

/** How the delivery of a step ended, with the problem that ended it early. */
export interface StepEnd {
    readonly outcome: "whole" | "deadline" | "cancelled" | "refused";
    readonly problem: Problem | undefined;
}

/** Samples with the cursor that stands for having taken them and all before them. */
export interface Batch {
    readonly samples: readonly Sample[];
    readonly cursor: string;
}

/** Problems after which pulling again is of no use. */
const endOf: Readonly<Partial<Record<ProblemType, StepEnd["outcome"]>>> = {
    "deadline-exceeded": "deadline",
    "gone": "cancelled",
    "invalid-request": "refused",
    "conflict": "refused",
    "unauthenticated": "refused",
    "forbidden": "refused",
    "too-large": "refused",
};

const defaultPullWaitMs = 2000;
const defaultPullTimeoutMs = 4000;
const longestTimeoutFactor = 16;
const retryMs = 100;

/** Client of one trainer. */
export class TrainerClient {
    private readonly hosts: HostRotation;
    /** Grows while answers do not come in time, so that a large batch gets through a slow network. */
    private timeoutFactor = 1;
    /** Version that the trainer works with now; pulls tell it to the owner. */
    weightVersion: number | undefined;

    constructor(private readonly options: TrainerOptions) {
        this.hosts = new HostRotation(options.urls);
    }

    /** Submits a step; submitting the same step again changes nothing. */
    submit(step: string, req: StepRequest): Promise<Either<Problem, StepStatus>> {
        return this.call("PUT", `steps/${step}`, req);
    }

    status(step: string): Promise<Either<Problem, StepStatus>> {
        return this.call("GET", `steps/${step}`);
    }

    cancel(step: string): Promise<Either<Problem, StepStatus>> {
        return this.call("DELETE", `steps/${step}`);
    }

    /** Publishes a weight version. */
    async publish(version: number): Promise<Either<Problem, unknown>> {
        this.weightVersion = version;
        return this.call("POST", "weights", { version });
    }

    /**
     * Submits the step and yields its samples, each exactly once, until the step is whole, it was cancelled, or its
     * deadline has passed. Throws nothing; a failing host is left for the next.
     */
    async *run(step: string, req: StepRequest): AsyncGenerator<readonly Sample[], StepEnd> {
        const batches = this.batches(step, req);
        for (;;) {
            const next = await batches.next();
            if (next.done === true) {
                return next.value;
            }
            yield next.value.samples;
        }
    }

    /**
     * Like `run`, with the cursor of each batch. A trainer that must survive its own restart stores a batch's samples
     * and its cursor in one write, and passes the last stored cursor when it starts again.
     */
    async *batches(step: string, req: StepRequest, stored?: string): AsyncGenerator<Batch, StepEnd> {
        this.weightVersion = Math.max(this.weightVersion ?? 0, req.weightVersion);
        let cursor = stored;
        let isSubmitted = cursor !== undefined;
        while (Date.now() < req.deadline) {
            const submitted = isSubmitted ? undefined : await this.submit(step, req);
            isSubmitted = submitted?.isRight() ?? true;
            const res: Either<Problem, StepPullResponse | StepStatus> = submitted?.isLeft() === true
                ? submitted
                : await this.pull(step, cursor);
            if (res.isLeft()) {
                const found = res.extract() as Problem;
                if (endOf[found.type] !== undefined) {
                    return { outcome: endOf[found.type]!, problem: found };
                }
                isSubmitted = isSubmitted && found.type !== "step-spec-needed";
                await new Promise(resolve => setTimeout(resolve, retryMs));
                continue;
            }
            const answer = res.unsafeCoerce() as StepPullResponse;
            if (answer.answers !== cursor || !this.isFresh(answer)) {
                continue;
            }
            cursor = answer.cursor;
            if (answer.samples.length > 0) {
                yield { samples: answer.samples, cursor };
            }
            if (answer.done) {
                void this.acknowledge(step, cursor);
                return { outcome: "whole", problem: undefined };
            }
        }
        return { outcome: "deadline", problem: undefined };
    }

    /** Asks once for the samples that follow `cursor`. */
    pull(step: string, cursor: string | undefined, maxSamples?: number): Promise<Either<Problem, StepPullResponse>> {
        return this.call("POST", `steps/${step}/pull`, {
            cursor,
            maxSamples,
            weightVersion: this.weightVersion,
            waitMs: this.options.pullWaitMs ?? defaultPullWaitMs,
        });
    }

    /** The trainer may have moved on while the answer was under way; the next pull tells the owner. */
    private isFresh({ samples, stalenessBound }: StepPullResponse): boolean {
        const lowest = (this.weightVersion ?? 0) - stalenessBound;
        return samples.every(({ spans }) => spans.every(span => span.version >= lowest));
    }

    /** Tells the owner that the last batch arrived, so that it can forget the step; it forgets it later in any case. */
    private async acknowledge(step: string, cursor: string): Promise<void> {
        await this.call("POST", `steps/${step}/pull`, { cursor, waitMs: 0 });
    }

    private async call<Answer>(
        method: "GET" | "PUT" | "POST" | "DELETE",
        path: string,
        body?: unknown,
    ): Promise<Either<Problem, Answer>> {
        const res = await callApi<Answer>({
            url: `${this.hosts.current()}/v1/services/${this.options.service}/${path}`,
            method,
            token: this.options.token,
            body,
            signal: AbortSignal.timeout(this.timeoutFactor * (this.options.pullTimeoutMs ?? defaultPullTimeoutMs)),
            dispatcher: this.options.dispatcher,
        });
        res.ifLeft(found => {
            if (found.type === "unavailable" || found.type === "stopping") {
                this.hosts.moveOn();
                this.timeoutFactor = Math.min(longestTimeoutFactor, 2 * this.timeoutFactor);
            }
        });
        res.ifRight(() => {
            this.timeoutFactor = 1;
        });
        return res;
    }
}
