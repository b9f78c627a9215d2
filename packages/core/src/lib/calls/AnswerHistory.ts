/**
 * The answers that were received on one connection. A target may send an answer a second time, late, where the next answer on the
 * same connection is expected. Nothing but the id of its request tells whose answer it is, and some requests have none, so an answer can
 * only be trusted on a connection on which no other answer to that id, or no other answer without an id, was received.
 */

/** Upper limit of the ids that are remembered for a connection; the oldest is forgotten first. */
const maxAnsweredIds = 256;

/** Remembers the answers on one connection. */
export class AnswerHistory {
    private readonly ids = new Set<string | undefined>();

    /** Records an answer to a request; `id` is undefined for requests that bear none. */
    record(id: string | undefined): void {
        this.ids.delete(id);
        this.ids.add(id);
        if (this.ids.size > maxAnsweredIds) {
            const [oldest] = this.ids;
            this.ids.delete(oldest);
        }
    }

    /** Whether an earlier answer could be mistaken for the answer to a request that is sent on the connection. */
    isAmbiguous(id: string | undefined): boolean {
        return this.ids.has(id);
    }
}
