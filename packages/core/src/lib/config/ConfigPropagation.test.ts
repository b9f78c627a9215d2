/**
 * Model-based test of applying and propagating a configuration: operators race on a store that loses and delays
 * responses, and hosts exchange copies by messages that are lost, repeated, delayed and reordered.
 */

import { expect } from "chai";
import fc from "fast-check";
import { type ConfigRevision, type Instant, type OperationId } from "../ids.js";
import { type KeyValue, type KeyValueEntry } from "../ports/KeyValue.js";
import { type SharedEntry, SharedEntryRegistry } from "../shared/SharedEntryRegistry.js";
import { applyConfig } from "./ConfigApply.js";
import { type ConfigDocument, configPrefix } from "./ConfigDocument.js";
import { ConfigRegistry } from "./ConfigRegistry.js";
import { createConfigDraft, InMemoryKeyValue, type SwapFault } from "./InMemoryKeyValue.test.js";
import { parseConfigDocument } from "./parseConfigDocument.js";

const key = `${configPrefix}fleet`;
const hostCount = 4;
const maxFaults = 8;

class ModelHost {
    registry = new ConfigRegistry();
    sharedEntries = this.createSharedEntries();
    disk: SharedEntry | undefined;
    highestRevision = 0;

    constructor(readonly hasDisk: boolean) {}

    offer(entry: SharedEntry): void {
        this.sharedEntries.offer(entry);
        const text = this.registry.text(key);
        this.disk = this.hasDisk && text !== undefined ? { key, text } : undefined;
        expect(this.revision, "the revision in force").to.be.at.least(this.highestRevision);
        this.highestRevision = this.revision;
    }

    /** Clears the memory; a host without a disk starts empty. */
    restart(): void {
        this.registry = new ConfigRegistry();
        this.sharedEntries = this.createSharedEntries();
        this.highestRevision = this.hasDisk ? this.highestRevision : 0;
        if (this.disk !== undefined) {
            this.offer(this.disk);
        }
    }

    get revision(): number {
        return this.registry.revisions()[0]?.revision ?? 0;
    }

    private createSharedEntries(): SharedEntryRegistry {
        const { registry } = this;
        return new SharedEntryRegistry([{
            prefix: configPrefix,
            numbers: () =>
                new Map(registry.revisions().map(({ name, revision }) => [`${configPrefix}${name}`, revision])),
            text: wanted => registry.text(wanted),
            offer: entry => registry.offer(entry.key, entry.text, 0 as Instant).taken,
        }]);
    }
}

/** The model, with the accepted operation of each revision as the reference. */
class PropagationModel {
    readonly store = new InMemoryKeyValue();
    readonly hosts = Array.from({ length: hostCount }, (unused, nth) => new ModelHost(nth === 0));
    private readonly accepted = new Map<number, string>();
    private readonly refused = new Set<string>();
    private readonly open: { readonly operation: string; readonly base: number; }[] = [];
    private messages: { readonly to: number; readonly entry: SharedEntry; }[] = [];
    private backup: ReadonlyMap<string, KeyValueEntry> = new Map();
    private operationCount = 0;

    async apply(staleBy: number, faults: readonly SwapFault[]): Promise<void> {
        this.store.faults.push(...faults);
        const base = Math.max(0, (this.stored()?.revision ?? 0) - staleBy);
        await this.propose(`op-${this.operationCount++}`, base);
    }

    /** Two operators change the same revision concurrently. */
    async race(): Promise<void> {
        const base = this.stored()?.revision ?? 0;
        await Promise.all([
            this.propose(`op-${this.operationCount++}`, base),
            this.propose(`op-${this.operationCount++}`, base),
        ]);
    }

    /** An operator repeats a change with an unknown outcome. */
    async repeat(): Promise<void> {
        const change = this.open.shift();
        if (change !== undefined) {
            await this.propose(change.operation, change.base);
        }
    }

    readStore(nth: number): void {
        const entry = this.store.entries.get(key);
        if (entry !== undefined) {
            this.hosts[nth]!.offer({ key, text: entry.value });
        }
    }

    /** Sends a copy of one host's entry to another; it may arrive late, twice or never. */
    send(from: number, to: number): void {
        const { keysToFetch } = this.hosts[to]!.sharedEntries.compare(this.hosts[from]!.sharedEntries.numbers());
        const [entry] = this.hosts[from]!.sharedEntries.entries(keysToFetch);
        if (entry !== undefined) {
            this.messages.push({ to, entry });
        }
    }

    deliver(pick: number, delivery: "once" | "twice" | "lost"): void {
        const index = pick % Math.max(1, this.messages.length);
        const message = this.messages[index];
        if (message === undefined) {
            return;
        }
        if (delivery !== "lost") {
            this.hosts[message.to]!.offer(message.entry);
        }
        if (delivery !== "twice") {
            this.messages.splice(index, 1);
        }
    }

    saveBackup(): void {
        this.backup = new Map(this.store.entries);
    }

    restoreBackup(): void {
        this.store.restore(this.backup);
    }

    /** Stops the faults and checks that all hosts converge to the highest revision. */
    settle(): void {
        this.store.faults.length = 0;
        this.store.applyDelayedSwaps();
        this.readStore(0);
        for (let round = 0; round < hostCount; round++) {
            this.hosts.forEach((unused, from) => this.hosts.forEach((other, to) => this.send(from, to)));
            while (this.messages.length > 0) {
                this.deliver(0, "once");
            }
        }
        const operations = this.hosts.map(host => host.registry.documents()[0]?.operationId);
        expect(new Set(operations).size, "operations in force").to.equal(1);
        expect(this.hosts[0]!.revision).to.be.at.least(this.stored()?.revision ?? 0);
        expect(this.refused.has(String(operations[0])), "a refused change is in force").to.equal(false);
    }

    private async propose(operation: string, base: number): Promise<void> {
        const highestKnownRevision = Math.max(...this.hosts.map(host => host.highestRevision), 0) as ConfigRevision;
        const slots = 1 + Number(operation.slice("op-".length)) % 4000;
        const res = await applyConfig(
            this.store as unknown as KeyValue,
            createConfigDraft(slots),
            base as ConfigRevision,
            operation as OperationId,
            { highestKnownRevision },
        );
        res.ifRight(({ doc }) => this.recordAccepted(doc));
        res.ifLeft(failure => {
            if (failure.kind === "unknown") {
                this.open.push({ operation, base });
            }
            else {
                this.refused.add(operation);
            }
        });
    }

    private recordAccepted(doc: ConfigDocument): void {
        expect(this.refused.has(doc.operationId), "accepted after it was refused").to.equal(false);
        const known = this.accepted.get(doc.revision) ?? doc.operationId;
        expect(known, `the operation of revision ${doc.revision}`).to.equal(doc.operationId);
        this.accepted.set(doc.revision, doc.operationId);
    }

    private stored(): ConfigDocument | undefined {
        return parseConfigDocument(key, this.store.entries.get(key)?.value ?? "").toMaybe().extract();
    }
}

type Step = (model: PropagationModel) => Promise<void> | void;

const host = fc.nat(hostCount - 1);
const faults = fc.array(fc.constantFrom<SwapFault>("none", "lost", "late"), { maxLength: maxFaults });

const propagationStep: fc.Arbitrary<Step> = fc.oneof(
    fc.tuple(fc.nat(2), faults).map(([stale, list]): Step => model => model.apply(stale, list)),
    fc.constant<Step>(model => model.race()),
    fc.constant<Step>(model => model.repeat()),
    fc.constant<Step>(model => model.store.applyDelayedSwaps()),
    host.map((nth): Step => model => model.readStore(nth)),
    fc.tuple(host, host).map(([from, to]): Step => model => model.send(from, to)),
    fc.tuple(fc.nat(20), fc.constantFrom("once", "twice", "lost" as const))
        .map(([pick, delivery]): Step => model => model.deliver(pick, delivery as "once" | "twice" | "lost")),
    host.map((nth): Step => model => model.hosts[nth]!.restart()),
);

const runs = Number(process.env["TAMARACK_RUNS"] ?? 200);

describe("configuration against a model", () => {
    it("accepts each revision once, never reverts a host, and brings every host to the highest revision", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(propagationStep, { maxLength: 60, size: "max" }), async steps => {
                const model = new PropagationModel();
                for (const step of steps) {
                    await step(model);
                }
                model.settle();
            }),
            { seed: 20_261, numRuns: runs },
        );
    });

    it("assigns revisions above a restored backup, so that the next change takes effect on all hosts", async () => {
        const model = new PropagationModel();
        await model.apply(0, []);
        model.saveBackup();
        await model.apply(0, []);
        model.readStore(1);
        model.restoreBackup();
        await model.apply(0, []);
        model.settle();
        expect(model.hosts.map(entry => entry.revision)).to.deep.equal([3, 3, 3, 3]);
    });
});
