/**
 * The trainer's side of exactly-once delivery. It advances its cursor only together with the samples, drops responses to
 * an outdated cursor, and submits the step again when a new owner needs it.
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

/** Addresses, service and credentials of a trainer. */
export interface TrainerOptions {
    /** Addresses of entry hosts or of the balancer, such as `http://127.0.0.1:7100`. */
    readonly urls: readonly string[];
    readonly service: string;
    readonly token: string;
    readonly dispatcher?: Dispatcher;
    /** Milliseconds for which the host may hold a pull until samples are available. */
    readonly pullWaitMs?: number;
    /** Milliseconds after which a call without a response is aborted and the next one goes to another host. */
    readonly pullTimeoutMs?: number;
}

/** A step as the trainer submits it. */
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

/** The outcome of a step's delivery, with the problem that ended it early. */
export interface StepEnd {
    readonly outcome: "whole" | "deadline" | "cancelled" | "refused";
    readonly problem: Problem | undefined;
}

/** Samples, and the cursor that acknowledges them and all earlier ones. */
export interface Batch {
    readonly samples: readonly Sample[];
    readonly cursor: string;
}

/** Problems that end a delivery, because another pull cannot succeed. */
const outcomeByProblem: Readonly<Partial<Record<ProblemType, StepEnd["outcome"]>>> = {
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
const maxTimeoutFactor = 16;
const retryDelayMs = 100;

/** Client of one trainer. */
export class TrainerClient {
    private readonly hosts: HostRotation;
    /** Doubles after each call without a usable response, so that a large batch can be transferred over a slow network. */
    private timeoutFactor = 1;
    /** Version that the trainer uses; pulls send it to the step's owner. */
    weightVersion: number | undefined;

    constructor(private readonly options: TrainerOptions) {
        this.hosts = new HostRotation(options.urls);
    }

    /** Submits a step; the call is idempotent. */
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
     * Submits the step and yields its samples, each exactly once, until the step is complete or cancelled, is refused, or
     * reaches its deadline. It never throws; when a host fails, it continues with the next one.
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
     * Like `run`, with the cursor of each batch. A trainer that resumes after its own restart stores a batch's samples
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
                if (outcomeByProblem[found.type] !== undefined) {
                    return { outcome: outcomeByProblem[found.type]!, problem: found };
                }
                isSubmitted = isSubmitted && found.type !== "step-spec-needed";
                await new Promise(resolve => setTimeout(resolve, retryDelayMs));
                continue;
            }
            const answer = res.unsafeCoerce() as StepPullResponse;
            if (answer.answers !== cursor || !this.isWithinStalenessBound(answer)) {
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

    /** Requests the samples that follow `cursor` once. */
    pull(step: string, cursor: string | undefined, maxSamples?: number): Promise<Either<Problem, StepPullResponse>> {
        return this.call("POST", `steps/${step}/pull`, {
            cursor,
            maxSamples,
            weightVersion: this.weightVersion,
            waitMs: this.options.pullWaitMs ?? defaultPullWaitMs,
        });
    }

    /** The trainer's version may have advanced while the response was in transit; the next pull sends it to the owner. */
    private isWithinStalenessBound({ samples, stalenessBound }: StepPullResponse): boolean {
        const minVersion = (this.weightVersion ?? 0) - stalenessBound;
        return samples.every(({ spans }) => spans.every(span => span.version >= minVersion));
    }

    /** Acknowledges the last batch, so that the owner can delete the step at once instead of at a later time. */
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
                this.hosts.advance();
                this.timeoutFactor = Math.min(maxTimeoutFactor, 2 * this.timeoutFactor);
            }
        });
        res.ifRight(() => {
            this.timeoutFactor = 1;
        });
        return res;
    }
}
