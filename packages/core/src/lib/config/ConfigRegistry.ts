/**
 * Keeps the configuration documents in force. A document is accepted only if it is well formed and its revision is
 * higher than the one in force, so that replayed events and stale copies never revert the configuration.
 */

import { type ConfigRevision, type Instant, type PoolId, type ServiceId } from "../ids.js";
import { type Finding } from "../Problem.js";
import { type ConfigDocument, configPrefix, type PoolConfig, type ServiceConfig } from "./ConfigDocument.js";
import { parseConfigDocument } from "./parseConfigDocument.js";

/** Result of offering a document. */
export type OfferOutcome =
    | { readonly taken: true; readonly doc: ConfigDocument; }
    | { readonly taken: false; readonly reason: "not-newer"; }
    | { readonly taken: false; readonly reason: "ill-formed"; readonly findings: readonly Finding[]; };

interface DocumentInForce {
    readonly doc: ConfigDocument;
    readonly text: string;
    readonly since: Instant;
}

/** The documents in force on one host. */
export class ConfigRegistry {
    private readonly inForce = new Map<string, DocumentInForce>();
    private readonly rejected = new Map<string, readonly Finding[]>();
    private storeFindings: readonly Finding[] = [];

    /** Offers the text of a document that was found under the key `place`. */
    offer(place: string, text: string, now: Instant): OfferOutcome {
        return parseConfigDocument(place, text)
            .caseOf<OfferOutcome>({
                Left: findings => this.reject(place, findings),
                Right: doc => this.offerDocument(place, doc, text, now),
            });
    }

    private reject(place: string, findings: readonly Finding[]): OfferOutcome {
        this.rejected.set(place, findings);
        return { taken: false, reason: "ill-formed", findings };
    }

    private offerDocument(place: string, doc: ConfigDocument, text: string, now: Instant): OfferOutcome {
        const key = `${configPrefix}${doc.name}`;
        if (place !== key) {
            return this.reject(place, [{ place, read: doc.name, allowed: `the key ${key}` }]);
        }
        const current = this.inForce.get(doc.name);
        if (current !== undefined && current.doc.revision >= doc.revision) {
            this.recordDivergence(place, current.doc, doc);
            return { taken: false, reason: "not-newer" };
        }
        this.rejected.delete(place);
        this.inForce.set(doc.name, { doc, text, since: now });
        return { taken: true, doc };
    }

    /** Records a finding if the document has the revision in force but comes from another operation. */
    private recordDivergence(place: string, current: ConfigDocument, offered: ConfigDocument): void {
        if (current.revision === offered.revision && current.operationId !== offered.operationId) {
            const read = `operation ${offered.operationId} at revision ${offered.revision}`;
            this.rejected.set(place, [{ place, read, allowed: `operation ${current.operationId}, which is in force` }]);
        }
    }

    /** Compares a complete read of the store, as texts by key, with the documents in force, which it may have lost. */
    compareWithStore(stored: ReadonlyMap<string, string>): void {
        this.storeFindings = [...this.inForce.values()].flatMap(({ doc }) => {
            const place = `${configPrefix}${doc.name}`;
            const text = stored.get(place);
            const allowed = `revision ${doc.revision}, which stays in force`;
            if (text === undefined) {
                return [{ place, read: "no document", allowed }];
            }
            const found = parseConfigDocument(place, text).map(entry => Number(entry.revision)).orDefault(doc.revision);
            return found < doc.revision ? [{ place, read: `revision ${found}`, allowed }] : [];
        });
    }

    documents(): readonly ConfigDocument[] {
        return [...this.inForce.values()].map(entry => entry.doc);
    }

    /** Returns the revision in force of each document and when it came into force. */
    revisions(): readonly { readonly name: string; readonly revision: ConfigRevision; readonly since: Instant; }[] {
        return [...this.inForce.values()].map(({ doc, since }) => ({ name: doc.name, revision: doc.revision, since }));
    }

    /** Returns the text of the document in force under `key`. */
    text(key: string): string | undefined {
        return this.inForce.get(key.slice(configPrefix.length))?.text;
    }

    /** Returns findings about rejected documents and about documents that the store has lost. */
    findings(): readonly Finding[] {
        return [...[...this.rejected.values()].flat(), ...this.storeFindings];
    }

    service(service: ServiceId): ServiceConfig | undefined {
        return this.documents().flatMap(doc => doc.services).find(entry => entry.service === service);
    }

    pool(pool: PoolId): PoolConfig | undefined {
        return this.documents().flatMap(doc => doc.pools).find(entry => entry.pool === pool);
    }
}
