/**
 * The finished samples of a step that its trainer has not taken. They are indexed by group, so that whole groups are
 * delivered first, and by their oldest weight version, so that a published version drops only what it makes too old.
 */

import { type WeightVersion } from "../ids.js";
import { type Sample, type StepGroup } from "./StepSpec.js";
import { oldestVersion } from "./versionSpans.js";

/** Finished samples that are owed to the trainer. */
export class ReadySamples {
    private readonly samples = new Map<number, Sample>();
    private readonly groupOf: Uint32Array;
    private readonly openInGroup: number[];
    private readonly readyInGroup: Set<number>[];
    private readonly wholeGroups = new Set<number>();
    private readonly partialGroups = new Set<number>();
    private readonly byVersion = new Map<WeightVersion, Set<number>>();

    constructor(private readonly groups: readonly StepGroup[], sampleCount: number) {
        this.groupOf = new Uint32Array(sampleCount);
        this.openInGroup = groups.map(group => group.samples);
        this.readyInGroup = groups.map(() => new Set());
        let index = 0;
        groups.forEach((group, nth) => {
            this.groupOf.fill(nth, index, index + group.samples);
            index += group.samples;
        });
    }

    get(index: number): Sample | undefined {
        return this.samples.get(index);
    }

    /** Tells whether sample `index` is the only one that its group still lacks. */
    isLastOfGroup(index: number): boolean {
        const group = this.groupOf[index]!;
        return this.openInGroup[group] === 1 && this.groups[group]!.samples > 1;
    }

    add(sample: Sample): void {
        const group = this.groupOf[sample.index]!;
        this.samples.set(sample.index, sample);
        this.openInGroup[group]!--;
        this.readyInGroup[group]!.add(sample.index);
        const version = oldestVersion(sample.spans);
        this.byVersion.set(version, (this.byVersion.get(version) ?? new Set()).add(sample.index));
        this.place(group);
    }

    /** Notes that the trainer has taken a sample, whether it was ready here or not. */
    take(index: number): void {
        if (!this.remove(index)) {
            const group = this.groupOf[index]!;
            this.openInGroup[group]!--;
            this.place(group);
        }
    }

    /** Removes and returns the samples that contain a version below `lowest`. */
    dropOlderThan(lowest: WeightVersion): readonly number[] {
        const stale = [...this.byVersion].filter(([version]) => version < lowest).flatMap((
            [, indices],
        ) => [...indices]);
        for (const index of stale) {
            this.remove(index);
            this.openInGroup[this.groupOf[index]!]!++;
            this.place(this.groupOf[index]!);
        }
        return stale;
    }

    /** The next samples to deliver, whole groups first: at most `limit` and about `maxLength` characters of text. */
    next(limit: number, maxLength: number): readonly Sample[] {
        const batch: Sample[] = [];
        let length = 0;
        for (const sample of this.inOrder()) {
            length += sample.text.length;
            if (batch.length === limit || batch.length > 0 && length > maxLength) {
                break;
            }
            batch.push(sample);
        }
        return batch;
    }

    /** Every ready sample, those of whole groups first. */
    *inOrder(): Generator<Sample> {
        for (const groups of [this.wholeGroups, this.partialGroups]) {
            for (const group of groups) {
                for (const index of this.readyInGroup[group]!) {
                    yield this.samples.get(index)!;
                }
            }
        }
    }

    private remove(index: number): boolean {
        const sample = this.samples.get(index);
        if (sample === undefined) {
            return false;
        }
        const version = oldestVersion(sample.spans);
        const indices = this.byVersion.get(version);
        indices?.delete(index);
        if (indices?.size === 0) {
            this.byVersion.delete(version);
        }
        this.samples.delete(index);
        this.readyInGroup[this.groupOf[index]!]!.delete(index);
        this.place(this.groupOf[index]!);
        return true;
    }

    private place(group: number): void {
        const hasReady = this.readyInGroup[group]!.size > 0;
        const isWhole = this.openInGroup[group] === 0;
        this.move(this.wholeGroups, group, hasReady && isWhole);
        this.move(this.partialGroups, group, hasReady && !isWhole);
    }

    private move(groups: Set<number>, group: number, belongs: boolean): void {
        if (belongs) {
            groups.add(group);
        }
        else {
            groups.delete(group);
        }
    }
}
