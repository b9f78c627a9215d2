/** Every request that entry hosts send each other, with the type of its question and of its answer. */

import { type Claim, type ClaimChange, type ClaimChangeOutcome, type StoredResponse } from "../answers/Claim.js";
import { type RunningAttempt } from "../delivery/Attempt.js";
import { type Epoch } from "../delivery/Cursor.js";
import { type Sample, type StepSpec } from "../delivery/StepSpec.js";
import { type StepCounts } from "../delivery/StepState.js";
import { type TargetEntryView } from "../directory/TargetDirectory.js";
import {
    type AttemptId,
    type CallerId,
    type HostId,
    type JobId,
    type ServiceId,
    type StepId,
    type TaskId,
    type WeightVersion,
    type ZoneId,
} from "../ids.js";
import { type Job, type ResultPage, type TaskResult } from "../jobs/Job.js";
import { type ProgressSnapshot } from "../jobs/TaskProgress.js";
import { type GossipMessage } from "../membership/MemberRecord.js";
import { type SyncMessage } from "../membership/membershipMessages.js";
import { type ZoneMessage } from "../membership/ZoneDirectory.js";
import { type SharedEntry } from "../shared/SharedEntryRegistry.js";
import { type SharedReport } from "../targets/ReportRegistry.js";
import { type OperatorView } from "./RolloutTargets.js";

/** Names a step to its owner. */
export interface StepReference {
    readonly service: ServiceId;
    readonly caller: CallerId;
    readonly step: StepId;
}

/** A pull as it is handed to the step's owner. */
export interface StepPullRequest extends StepReference {
    /** The trainer's cursor, or undefined at the first pull. */
    readonly cursor: string | undefined;
    readonly weightVersion: WeightVersion | undefined;
    readonly maxSamples: number;
    /** Milliseconds since the Unix epoch until which the owner may wait for a sample. */
    readonly waitUntil: number;
}

/** The answer to a pull. */
export interface StepPullResponse {
    readonly samples: readonly Sample[];
    /** The cursor to present next, once the samples are safe with the trainer. */
    readonly cursor: string;
    /** The cursor that this answers; a client drops answers to a cursor that it has moved past. */
    readonly answers: string | undefined;
    /** True when the next cursor covers the whole step. */
    readonly done: boolean;
    /** How many versions a sample may lag behind the trainer at the moment of delivery. */
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

/** Tells another host that the sender owns a step. */
export interface StepAnnouncement extends StepReference {
    readonly epoch: Epoch;
}

/** Part of a step's state that a host hands to its successor; it can be sent again. */
export interface StepHandover {
    readonly spec: StepSpec;
    /** Cursor over the samples that the trainer has acknowledged. */
    readonly cursor: string;
    readonly version: WeightVersion;
    readonly samples: readonly Sample[];
    /** Every attempt that still runs at the sender and that its successor should wait for. */
    readonly running: readonly RunningAttempt[];
    /** Milliseconds since the Unix epoch after which the successor no longer waits. */
    readonly holdUntil: number;
}

/** A call with a ticket, handed to the host that minted the ticket. */
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

/** Asks a peer to compare shared entries. */
export interface SharedDigestRequest {
    readonly digest: number;
    /** Milliseconds since the asker's zone last read the key-value service, as far as it knows. */
    readonly storeAgeMs: number | undefined;
}

/** The answer to a digest; the numbers are left out when the digests agree. */
export interface SharedDigestResponse {
    readonly storeAgeMs: number | undefined;
    readonly numbers: Readonly<Record<string, number>> | undefined;
}

/** A question to the holder of a claim about its outcome. */
export interface ClaimOutcomeRequest {
    readonly claim: Claim;
    readonly caller: string;
    /** Milliseconds since the Unix epoch until which the holder may wait for the outcome. */
    readonly waitUntil: number;
}

/** What the holder of a claim says of it. "never" promises that the claim's request will not be dispatched. */
export type ClaimOutcomeResponse =
    | { readonly kind: "answered"; readonly outcome: StoredResponse; }
    | { readonly kind: "outcome-dropped" | "never" | "unknown" | "still-running"; };

/** Asks a member to probe another one. */
export interface RelayRequest {
    readonly message: GossipMessage;
    readonly host: HostId;
    /** Milliseconds since the Unix epoch. */
    readonly deadline: number;
}

/** What the conductor hands to the other hosts. */
export interface SharedView {
    /** Rises with each change at this conductor. */
    readonly number: number;
    /** Milliseconds since the conductor read it from the store, or undefined when it has read nothing yet. */
    readonly ageMs: number | undefined;
    /** Absent when nothing changed since `have`. */
    readonly content: { readonly operator: OperatorView; readonly targets: readonly TargetEntryView[]; } | undefined;
}

/** A result that is not listed yet. */
export interface UnlistedResult {
    readonly job: JobId;
    readonly result: TaskResult;
}

/** The text of an unfinished task from its event number `from` on, counted from 0. */
export interface TextPart {
    readonly task: TaskId;
    readonly from: number;
    readonly text: ProgressSnapshot;
}

/** The whole text of an unfinished task. */
export interface TaskText {
    readonly task: TaskId;
    readonly text: ProgressSnapshot;
}

/** What is new since the last copy to a standby. */
export interface StandbyUpdate {
    /** Set when the standby has nothing of this conductor's yet; what it kept before is dropped. */
    readonly isFirst: boolean;
    readonly results: readonly UnlistedResult[];
    readonly texts: readonly TextPart[];
    /** Tasks of which the result is listed, or the text is not needed any more. */
    readonly settled: readonly TaskId[];
}

/** What was kept of a conductor's jobs beside the store. */
export interface UnstoredWork {
    readonly results: readonly UnlistedResult[];
    readonly texts: readonly TaskText[];
}

/** What a host that conducted hands to its successor. */
export interface ConductorHandover extends UnstoredWork {
    /** Milliseconds since its last order, if it gave any. */
    readonly lastOrderAgeMs: number | undefined;
}

/** Whether a job is kept from now on; "unknown" means that it may be kept. */
export interface JobAcceptance {
    readonly outcome: "kept" | "not-kept" | "unknown";
}

/** Results as the conductor lists them. */
export interface ConductorPage extends ResultPage {
    /** False when the store may hold more: the conductor no longer hears it, or a write of results got no answer. */
    readonly isSure: boolean;
}

/** Says that no such job, or no such task of it, exists. */
export interface JobUnknown {
    readonly unknown: true;
}

/** Requests between peers. */
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
    /** What the conductor knows of the platform's documents; waits a moment for something newer than `have`. */
    "view-pull": {
        readonly ask: { readonly have: number; readonly zone: ZoneId; readonly hasCallers: boolean; };
        readonly answer: SharedView;
    };
    /** Unlisted results and unfinished texts, which outlive the conductor at another host. */
    "standby-keep": { readonly ask: StandbyUpdate; readonly answer: Record<string, never>; };
    /** What a standby kept, for a new conductor. */
    "standby-work": { readonly ask: UnstoredWork; readonly answer: Record<string, never>; };
    /** Which host the asked one takes for the conductor. */
    "conductor-ask": {
        readonly ask: Record<string, never>;
        readonly answer: { readonly conductor: HostId | undefined; readonly zone: ZoneId; };
    };
    /** Tells the host that conducted before that another one has the claim, and takes over what it has. */
    "conductor-yield": { readonly ask: { readonly fence: number; }; readonly answer: ConductorHandover; };
    "job-submit": {
        readonly ask: { readonly job: Job; readonly deadlineMs: number; };
        readonly answer: JobAcceptance;
    };
    "job-read": {
        readonly ask: { readonly job: JobId; readonly after: number; readonly waitMs: number; };
        readonly answer: ConductorPage;
    };
    "job-body": {
        readonly ask: { readonly job: JobId; readonly task: TaskId; };
        readonly answer: { readonly body: Uint8Array; } | JobUnknown;
    };
    "job-end": { readonly ask: { readonly job: JobId; }; readonly answer: { readonly ended: true; } | JobUnknown; };
    /** Requests that the asking host has in flight, by target. */
    "in-flight": {
        readonly ask: { readonly host: HostId; readonly counts: Readonly<Record<string, number>>; };
        readonly answer: Record<string, never>;
    };
}
