/** Rotates through the addresses of several entry hosts when one fails. */

/** The addresses of entry hosts, used in turn. */
export class HostRotation {
    private index = 0;

    constructor(private readonly urls: readonly string[]) {
        if (urls.length === 0) {
            throw new Error("Cannot connect without the address of at least one entry host.");
        }
    }

    current(): string {
        return this.urls[this.index % this.urls.length]!;
    }

    /** Makes the next address the current one. */
    advance(): void {
        this.index++;
    }
}
