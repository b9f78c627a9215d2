/**
 * The ports towards the engines that run a job's tasks, the targets that calls are forwarded to, and the operators'
 * documents. Failures always say whether the request may have run.
 */

import { type Either } from "purify-ts";
import { type RouteConfig } from "../calls/RouteTable.js";
import { type VersionOrder, type VersionOrderEnd } from "../conduct/VersionPlan.js";
import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { type Instant, type WeightVersion } from "../ids.js";
import { type Task } from "../jobs/Job.js";
import { type StreamEvent } from "../jobs/TaskProgress.js";
import { type KeyValueFailure } from "./KeyValue.js";

/** A task's run as an engine is asked for it. */
export interface TaskRequest {
    readonly task: Task;
    /** Virtual host of the job's route. */
    readonly host: string;
    /** Resume after this event. */
    readonly afterEvent: number | undefined;
    /** Most connections that this host opens to the engine. */
    readonly maxConnections: number;
}

/** Why a run ended; "refused" means that the engine says it did not run, "fault" that connection or bytes were bad. */
export type TaskRunOutcome =
    | { readonly kind: "completed"; }
    | { readonly kind: "failed"; readonly status: number; }
    | { readonly kind: "impossible"; }
    | { readonly kind: "refused"; readonly status: number; }
    | { readonly kind: "unreachable"; readonly detail: string; }
    | { readonly kind: "fault"; readonly detail: string; }
    | { readonly kind: "cancelled"; };

/** What an engine says of itself. */
export interface EngineSelfReport {
    readonly isBusy: boolean;
    readonly orders: number;
    readonly versions: readonly { readonly model: string; readonly version: WeightVersion; }[];
}

/** Reaches engines. */
export interface RolloutEngines {
    /** Runs a task; `onEvent` returns false to stop it. */
    run(
        engine: TargetEntryView,
        req: TaskRequest,
        onEvent: (event: StreamEvent, version: WeightVersion) => boolean,
        signal: AbortSignal,
    ): Promise<TaskRunOutcome>;
    order(engine: TargetEntryView, order: VersionOrder, holder: string, fence: number): Promise<VersionOrderEnd>;
    report(engine: TargetEntryView): Promise<Either<string, EngineSelfReport>>;
    /** Ends connections to targets that are not listed. */
    closeUnlisted(listed: readonly TargetEntryView[]): void;
}

/** A caller's request as it is forwarded. */
export interface ForwardedCall {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly host: string;
    /** Names and values in turn, without those that concern one connection only. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
}

/** The head of a target's response; names and values in turn. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: readonly string[];
}

/** How one attempt at a target ended. */
export type ForwardOutcome =
    | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: Uint8Array; }
    /** Pieces were handed on as they came, to the end. */
    | { readonly kind: "streamed"; }
    | { readonly kind: "not-run"; readonly detail: string; readonly reached: boolean; }
    | { readonly kind: "unknown"; readonly detail: string; }
    | { readonly kind: "cancelled"; };

/** Takes a streamed response as it arrives. */
export interface StreamHandler {
    onHead(head: ResponseHead): void;
    /** Resolves once more may come. */
    onChunk(bytes: Uint8Array): Promise<void>;
}

/** Reaches the targets of calls. */
export interface CallTargets {
    send(
        target: TargetEntryView,
        call: ForwardedCall,
        options: {
            readonly deadline: Instant;
            readonly maxConnections: number;
            /** A connection of its own, for requests that may run once only. */
            readonly shouldUseNewConnection: boolean;
            readonly streamHandler: StreamHandler | undefined;
            readonly resumeAfter?: string;
        },
        signal: AbortSignal,
    ): Promise<ForwardOutcome>;
}

/** What the operators have written. */
export interface OperatorView {
    readonly config: RouteConfig | undefined;
    readonly versions: readonly { readonly model: string; readonly version: WeightVersion; }[];
    /** Names of hosts that are to be emptied. */
    readonly retiring: readonly string[];
}

/** Reads the documents of operators and targets. */
export interface PlatformDocuments {
    readOperator(): Promise<Either<KeyValueFailure, OperatorView>>;
    /** Waits up to `waitMs` for a change of what `readOperator` returned last, and returns the whole once more. */
    awaitOperatorChange(waitMs: number): Promise<Either<KeyValueFailure, OperatorView>>;
    readTargets(): Promise<Either<KeyValueFailure, readonly TargetEntryView[]>>;
    /** Says that a host holds nothing any more. */
    confirmRetired(hostName: string): Promise<Either<KeyValueFailure, void>>;
}
