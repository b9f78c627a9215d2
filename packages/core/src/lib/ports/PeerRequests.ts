/** The requests that entry hosts send each other, with the types of their parameters and responses. */

import { type Claim, type ClaimChange, type ClaimChangeOutcome, type StoredResponse } from "../answers/Claim.js";
import { type RunningAttempt } from "../delivery/Attempt.js";
import { type Epoch } from "../delivery/Cursor.js";
import { type Sample, type StepSpec } from "../delivery/StepSpec.js";
import { type StepCounts } from "../delivery/StepState.js";
import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { type HostUsage } from "../duties/UsageCounter.js";
import {
    type AttemptId,
    type CallerId,
    type ConfigRevision,
    type HostId,
    type Incarnation,
    type JobId,
    type KeyRevision,
    type OrganisationId,
    type ServiceId,
    type StepId,
    type TargetId,
    type TaskId,
    type WeightVersion,
    type ZoneId,
} from "../ids.js";
import { type Job, type ResultPage, type TaskResult } from "../jobs/Job.js";
import { type ProgressSnapshot } from "../jobs/TaskProgress.js";
import { type CrashReport, type RequestFingerprint } from "../limits/CrashTable.js";
import { type RateLimitReport } from "../limits/RateLimitTable.js";
import { type GossipMessage } from "../membership/MemberRecord.js";
import { type SyncMessage } from "../membership/membershipMessages.js";
import { type ZoneMessage } from "../membership/ZoneDirectory.js";
import { type RelayHost } from "../reach/RelayChoice.js";
import { type SharedEntry } from "../shared/SharedEntryRegistry.js";
import { type SharedReport } from "../targets/ReportRegistry.js";
import { type ForwardedCall, type ForwardOutcome, type OperatorView, type ResponseHead } from "./RolloutTargets.js";

/** Identifies a step. */
export interface StepReference {
    readonly service: ServiceId;
    readonly caller: CallerId;
    readonly step: StepId;
}

/** A pull as it is forwarded to the step's owner. */
export interface StepPullRequest extends StepReference {
    /** The trainer's cursor, or undefined at the first pull. */
    readonly cursor: string | undefined;
    readonly weightVersion: WeightVersion | undefined;
    readonly maxSamples: number;
    /** Milliseconds since the Unix epoch until which the owner may wait for a sample. */
    readonly waitUntil: number;
}

/** The response to a pull. */
export interface StepPullResponse {
    readonly samples: readonly Sample[];
    /** The cursor for the next pull, to be presented once the trainer has stored the samples. */
    readonly cursor: string;
    /** The cursor that the pull presented; a client drops the responses to all but its current cursor. */
    readonly answers: string | undefined;
    /** True when the next cursor covers the whole step. */
    readonly done: boolean;
    /** How many versions a sample may lag behind the trainer when it is delivered. */
    readonly stalenessBound: number;
}

/** State of a step as its owner reports it. */
export interface StepStatus extends StepReference {
    readonly owner: HostId;
    readonly samples: number;
    readonly counts: StepCounts;
    readonly deadline: number;
    readonly cancelled: boolean;
}

/** Announces to another host that the sender owns a step. */
export interface StepAnnouncement extends StepReference {
    readonly epoch: Epoch;
}

/** Part of a step's state that a host hands to its successor; resending it has no further effect. */
export interface StepHandover {
    readonly spec: StepSpec;
    /** Cursor over the samples that the trainer has acknowledged. */
    readonly cursor: string;
    readonly version: WeightVersion;
    readonly samples: readonly Sample[];
    /** The attempts that still run at the sender and that the successor should wait for. */
    readonly running: readonly RunningAttempt[];
    /** Milliseconds since the Unix epoch until which the successor waits for the attempts in `running`. */
    readonly holdUntil: number;
}

/** A call with a ticket, forwarded to the host that issued the ticket. */
export interface TicketCallRequest {
    readonly service: ServiceId;
    readonly caller: CallerId;
    readonly ticket: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    /** Milliseconds since the Unix epoch. */
    readonly deadline: number;
}

/** Requests a comparison of the shared entries, which are documents that every host keeps a copy of. */
export interface SharedDigestRequest {
    /** Hash over the sender's entries, as computed by `SharedEntryRegistry.digest`. */
    readonly digest: number;
    /** Milliseconds since the sender's zone last read the key-value service; undefined when no read is recorded. */
    readonly storeAgeMs: number | undefined;
}

/** The response to a digest; `numbers` holds the receiver's number of each entry, unless the digests are equal. */
export interface SharedDigestResponse {
    readonly storeAgeMs: number | undefined;
    readonly numbers: Readonly<Record<string, number>> | undefined;
}

/** Requests the outcome of a claim from its holder. */
export interface ClaimOutcomeRequest {
    readonly claim: Claim;
    readonly caller: string;
    /** Milliseconds since the Unix epoch until which the holder may wait for the outcome. */
    readonly waitUntil: number;
}

/** The outcome of a claim at its holder. "never" guarantees that the claim's request will not be dispatched. */
export type ClaimOutcomeResponse =
    | { readonly kind: "answered"; readonly outcome: StoredResponse; }
    | { readonly kind: "outcome-dropped" | "never" | "unknown" | "still-running"; };

/** One attempt at a call that a host sends to a target for another host, which reaches none. */
export interface RelaySend {
    /** Identifies the attempt in the requests that follow. */
    readonly relay: string;
    readonly target: TargetId;
    /** The incarnation that the sender chose; the receiver does not send to another one. */
    readonly incarnation: Incarnation;
    readonly call: ForwardedCall;
    /** Milliseconds until the call's deadline. */
    readonly leftMs: number;
    readonly isStream: boolean;
    readonly maxConnections: number;
    readonly shouldUseNewConnection: boolean;
    readonly maxBodyBytes: number | undefined;
}

/** What has arrived of a relayed response since the last step; `outcome` is set in the last one. */
export interface RelayStep {
    readonly head: ResponseHead | undefined;
    readonly chunks: readonly Uint8Array[];
    readonly outcome: ForwardOutcome | undefined;
}

/** Requests a member to probe another one, `host`. */
export interface RelayRequest {
    readonly message: GossipMessage;
    readonly host: HostId;
    /** Milliseconds since the Unix epoch. */
    readonly deadline: number;
}

/** The conductor's view of the platform's documents, as it is sent to the other hosts. */
export interface ConductorView {
    /** Fencing token of the conductor's claim; undefined at a host that does not tell, or that holds no claim. */
    readonly fence?: KeyRevision;
    /** Counts the changes in this process of the conductor. */
    readonly number: number;
    /** Milliseconds since the conductor read it from the store; undefined before the first read. */
    readonly ageMs: number | undefined;
    /** Milliseconds since the read of the targets began; undefined at a host that does not tell. */
    readonly readAgeMs?: number | undefined;
    /**
     * Milliseconds from the time at which the configuration of this view is proven to have been the newest in the store until the
     * request arrived, or 0 if it arrived earlier; undefined without a proof, and at a host that does not tell.
     */
    readonly configProofAgeMs?: number | undefined;
    /** Undefined when this view is the one that the request names in `have`. */
    readonly content: { readonly operator: OperatorView; readonly targets: readonly TargetEntryView[]; } | undefined;
    /** The rate limits that changed after the revision that the request names in `haveLimits`. */
    readonly limits?: { readonly number: number; readonly reports: readonly RateLimitReport[]; };
    /** The records of requests that may end targets which changed after the revision that `haveCrashes` names. */
    readonly crashes?: { readonly number: number; readonly reports: readonly CrashReport[]; };
    /** Number of hosts that pull this view, including the conductor. */
    readonly hosts?: number;
    /** Some hosts that reach targets, others each time. */
    readonly relays?: readonly RelayHost[];
    /** The newest window of use that is fixed in the store; undefined if the conductor does not know or tell. */
    readonly usageFixedTo?: number | undefined;
}

/** A task's result that is not listed yet: the write that appends it to the job's results is not confirmed. */
export interface UnlistedResult {
    readonly job: JobId;
    readonly result: TaskResult;
}

/** The text of an unfinished task from its event number `from` on, counted from 0. */
export interface TaskTextPart {
    readonly task: TaskId;
    readonly from: number;
    readonly text: ProgressSnapshot;
}

/** The whole text of an unfinished task. */
export interface TaskText {
    readonly task: TaskId;
    readonly text: ProgressSnapshot;
}

/** What has changed at the conductor since its last update to a standby, which keeps it for the next conductor. */
export interface StandbyUpdate {
    /** Fencing token of the conductor's claim; earlier software sends none. */
    readonly fence?: KeyRevision | undefined;
    /** True for the first update from this conductor; the standby drops what it kept before. */
    readonly isFirst: boolean;
    readonly results: readonly UnlistedResult[];
    readonly texts: readonly TaskTextPart[];
    /** Tasks whose result is listed, or whose text is not needed. */
    readonly settled: readonly TaskId[];
}

/** Whether a standby lacks what an update adds to, as after its restart; earlier software does not tell. */
export interface StandbyAnswer {
    readonly needsAll?: boolean;
}

/** State of a conductor's jobs that is not in the store. */
export interface UnstoredWork {
    readonly results: readonly UnlistedResult[];
    readonly texts: readonly TaskText[];
}

/** State that a former conductor hands to its successor. */
export interface ConductorHandover extends UnstoredWork {
    /** Milliseconds since it last ordered an engine to load weights; undefined if it sent no order. */
    readonly lastOrderAgeMs: number | undefined;
}

/**
 * Whether a submitted job is stored, or was and has ended; "unknown" means that it may be stored, and "other-owner" that
 * another organisation submitted a job under the same id. Earlier software does not know "other-owner" and asks the store.
 */
export interface JobAcceptance {
    readonly outcome: "kept" | "ended" | "not-kept" | "unknown" | "other-owner";
}

/** A job that a caller submitted; the conductor has `deadlineMs` milliseconds to store it. */
export interface JobSubmission {
    readonly job: Job;
    readonly deadlineMs: number;
}

/** Results as listed by the conductor. */
export interface ConductorPage extends ResultPage {
    /** False when the store may have more: it does not respond to the conductor, or did not to a write of results. */
    readonly isSure: boolean;
}

/** The job, or the task of the job, does not exist, or belongs to another organisation. */
export interface JobUnknown {
    readonly unknown: true;
    /** Set if the job exists and belongs to another organisation; earlier software does not tell. */
    readonly isOwned?: true;
}

/** Asks for a permit for one request to a target with a rate limit. */
export interface PermitRequest {
    /** The route of the request. */
    readonly flow: string;
    /** What the sender knows of the targets that it may send the request to, the preferred ones first. */
    readonly reports: readonly RateLimitReport[];
    /** Milliseconds for which the request may wait. */
    readonly latestInMs: number;
    /** Whether the request is only to show if the target still states its limit. */
    readonly isTrial: boolean;
}

/** The conductor's response to a request for a permit, with what it knows of the same targets. */
export type PermitResponse =
    & { readonly reports: readonly RateLimitReport[]; }
    & (
        | { readonly permitted: { readonly target: TargetId; readonly inMs: number; }; }
        /** Milliseconds until a request that gets no permit may be sent again. */
        | { readonly retryInMs: number; }
    );

/** Names of the requests of job calls that hosts send to the conductor. */
export type JobRequestName = "job-keep" | "job-read" | "job-body" | "job-end";

/** How a request of a job call to the conductor ended; after "no-answer" the conductor may have carried it out. */
export type JobRequestEnd<Name extends JobRequestName = JobRequestName> =
    | { readonly kind: "answered"; readonly answer: PeerRequests[Name]["answer"]; }
    | { readonly kind: "refused" | "not-sent" | "no-answer"; readonly detail: string; };

/** A request of a job call that another host sends to the conductor, which has `ms` milliseconds to answer. */
export type RelayedJobRequest = {
    [Name in JobRequestName]: {
        readonly name: Name;
        readonly ask: PeerRequests[Name]["ask"];
        readonly ms: number;
    };
}[JobRequestName];

/** Parameters (`ask`) and response (`answer`) of each request between peers. */
export interface PeerRequests {
    "member-probe": { readonly ask: GossipMessage; readonly answer: GossipMessage; };
    "member-relay": { readonly ask: RelayRequest; readonly answer: { readonly reached: boolean; }; };
    "member-gossip": { readonly ask: GossipMessage; readonly answer: Record<string, never>; };
    "member-sync": { readonly ask: SyncMessage; readonly answer: SyncMessage; };
    "zone-exchange": { readonly ask: ZoneMessage; readonly answer: ZoneMessage; };
    "step-put": { readonly ask: StepSpec; readonly answer: StepStatus; };
    "step-pull": { readonly ask: StepPullRequest; readonly answer: StepPullResponse; };
    "step-status": { readonly ask: StepReference; readonly answer: StepStatus; };
    "step-cancel": { readonly ask: StepReference; readonly answer: StepStatus; };
    "step-announce": { readonly ask: StepAnnouncement; readonly answer: { readonly epoch: Epoch | undefined; }; };
    "step-handover": { readonly ask: StepHandover; readonly answer: { readonly awaited: readonly AttemptId[]; }; };
    "ticket-call": { readonly ask: TicketCallRequest; readonly answer: StoredResponse; };
    "shared-digest": { readonly ask: SharedDigestRequest; readonly answer: SharedDigestResponse; };
    "shared-fetch": {
        readonly ask: { readonly keys: readonly string[]; };
        readonly answer: { readonly entries: readonly SharedEntry[]; };
    };
    "shared-notice": {
        readonly ask: { readonly numbers: Readonly<Record<string, number>>; };
        readonly answer: Record<string, never>;
    };
    "claim-change": { readonly ask: ClaimChange; readonly answer: ClaimChangeOutcome; };
    "claim-outcome": { readonly ask: ClaimOutcomeRequest; readonly answer: ClaimOutcomeResponse; };
    "target-reports": {
        readonly ask: { readonly reports: readonly SharedReport[]; };
        readonly answer: Record<string, never>;
    };
    "version-published": {
        readonly ask: { readonly service: ServiceId; readonly version: WeightVersion; };
        readonly answer: Record<string, never>;
    };
    /** Returns the conductor's view of the platform's documents; waits for a limited time for one newer than `have`. */
    "view-pull": {
        readonly ask: {
            /** Number of the view that the sender has, or -1. */
            readonly have: number;
            /**
             * Fencing token of the claim under which the sender got `have`, `haveLimits` and `haveCrashes`; undefined if it
             * has none, or does not tell.
             */
            readonly haveFence?: KeyRevision;
            /** Revision of the rate limits; undefined at a host that does not pull them. */
            readonly haveLimits?: number;
            /** The same for the records of requests that may end targets. */
            readonly haveCrashes?: number;
            readonly zone: ZoneId;
            readonly hasCallers: boolean;
            /** Whether the sender reaches targets; undefined at a host that does not tell. */
            readonly reachesTargets?: boolean;
            /** The sender's counts of use; undefined at a host that does not count. */
            readonly usage?: HostUsage | undefined;
        };
        readonly answer: ConductorView;
    };
    /** Sends the last counts of use of a host that stops to the conductor. */
    "usage-counts": { readonly ask: HostUsage; readonly answer: { readonly usageFixedTo?: number | undefined; }; };
    /** Reports the rate limits that targets stated to the sender. */
    "rate-limits": {
        readonly ask: { readonly reports: readonly RateLimitReport[]; };
        readonly answer: Record<string, never>;
    };
    /** Asks the conductor for a permit for one request to one of the targets in `reports`. */
    "request-permit": { readonly ask: PermitRequest; readonly answer: PermitResponse; };
    /** Reports targets that ended while they ran a request. */
    "crash-reports": {
        readonly ask: { readonly reports: readonly CrashReport[]; };
        readonly answer: Record<string, never>;
    };
    /** Asks the conductor for permission to send a blocked request once. */
    "crash-trial": {
        readonly ask: { readonly fingerprint: RequestFingerprint; };
        readonly answer: { readonly isPermitted: boolean; };
    };
    /** Sends one attempt to a target for another host. A problem in the answer means that nothing was sent. */
    "relay-send": { readonly ask: RelaySend; readonly answer: RelayStep; };
    /** Returns the next part of a relayed response once there is one. */
    "relay-next": { readonly ask: { readonly relay: string; }; readonly answer: RelayStep; };
    /** Ends a relayed attempt, as when its caller has left. */
    "relay-end": { readonly ask: { readonly relay: string; }; readonly answer: Record<string, never>; };
    /** Replicates unlisted results and unfinished texts to a standby, so that they survive a loss of the conductor. */
    "standby-keep": { readonly ask: StandbyUpdate; readonly answer: StandbyAnswer; };
    /** Sends the state that a standby keeps to a new conductor. */
    "standby-work": { readonly ask: UnstoredWork; readonly answer: Record<string, never>; };
    /** Returns the host that the receiver regards as the conductor, with the fencing token of its claim if it is known. */
    "conductor-ask": {
        readonly ask: Record<string, never>;
        readonly answer: {
            readonly conductor: HostId | undefined;
            readonly fence?: KeyRevision;
            readonly zone: ZoneId;
            /** Revision of the receiver's configuration; undefined at earlier software, as the next one. */
            readonly config?: ConfigRevision | undefined;
            /** Age of the proof of that configuration at the arrival of the request, as in `ConductorView`. */
            readonly configProofAgeMs?: number | undefined;
        };
    };
    /**
     * Notifies the former conductor that the sender has claimed its role under the fencing token `fence`, and returns the
     * former conductor's state. The answer is a problem when the receiver knows of a later claim.
     */
    "conductor-yield": { readonly ask: { readonly fence: KeyRevision; }; readonly answer: ConductorHandover; };
    /** Stores a job and begins to run it, unless it has ended. */
    "job-keep": { readonly ask: JobSubmission; readonly answer: JobAcceptance; };
    /**
     * What hosts of earlier software send for "job-keep". It is answered but not sent: a conductor of earlier software would
     * run a job again that has ended. The answer "kept" includes ended jobs.
     */
    "job-submit": { readonly ask: JobSubmission; readonly answer: JobAcceptance; };
    "job-read": {
        readonly ask: {
            readonly job: JobId;
            readonly after: number;
            readonly waitMs: number;
            /** The caller's organisation, in this and the next two; undefined if it has none, or at earlier software. */
            readonly organisation?: OrganisationId | undefined;
        };
        readonly answer: ConductorPage | JobUnknown;
    };
    "job-body": {
        readonly ask: {
            readonly job: JobId;
            readonly task: TaskId;
            readonly organisation?: OrganisationId | undefined;
        };
        readonly answer: { readonly body: Uint8Array; } | JobUnknown;
    };
    "job-end": {
        readonly ask: { readonly job: JobId; readonly organisation?: OrganisationId | undefined; };
        readonly answer: { readonly ended: true; } | JobUnknown;
    };
    /** Passes a request of a job call on to the conductor, for a host that is cut off from it. */
    "job-relay": { readonly ask: RelayedJobRequest; readonly answer: JobRequestEnd; };
    /** Reports the sender's requests in flight, by target. */
    "in-flight": {
        readonly ask: { readonly host: HostId; readonly counts: Readonly<Record<string, number>>; };
        readonly answer: Record<string, never>;
    };
}
