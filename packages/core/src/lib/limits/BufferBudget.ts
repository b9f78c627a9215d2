/**
 * The bytes that a process keeps for its clients: request bodies, and answers that are not sent yet. It is made for crowds
 * whose requests are each of legal size but together exceed the memory of the host. Part of the budget is reserved for
 * small holdings, so that ordinary requests are still served while large bodies use up the rest. The only large holding may
 * grow to any size: a single request within the limits is always served.
 */

/** Sizes of a budget in bytes. */
export interface BufferBudgetOptions {
    readonly maxBytes: number;
    /** Part of `maxBytes` that only small holdings may use. */
    readonly reservedBytes: number;
    /** Upper limit of a small holding. */
    readonly maxSmallBytes: number;
}

/** What one request or one answer holds. */
export interface BufferHolding {
    readonly bytes: number;
    /** Takes `bytes` more if the budget has room, and returns whether it did. */
    tryGrow(bytes: number): boolean;
    /** Takes `bytes` more whether or not there is room, for bytes that exist already. */
    grow(bytes: number): void;
    /** Returns all bytes to the budget; later calls change nothing. */
    release(): void;
}

/** A budget of buffered bytes. */
export class BufferBudget {
    private smallBytes = 0;
    private largeBytes = 0;
    private largeCount = 0;

    constructor(private readonly options: BufferBudgetOptions) {}

    /** Bytes held at present. */
    get heldBytes(): number {
        return this.smallBytes + this.largeBytes;
    }

    /** Whether more is held than the budget has. */
    get isExceeded(): boolean {
        return this.heldBytes > this.options.maxBytes;
    }

    /** Begins a holding of no bytes. */
    open(): BufferHolding {
        let own = 0;
        let isReleased = false;
        const resize = (bytes: number): void => {
            this.count(own, -1);
            own = bytes;
            this.count(own, 1);
        };
        return {
            get bytes() {
                return own;
            },
            tryGrow: bytes => {
                const isAdmitted = !isReleased && this.hasRoom(own, bytes);
                if (isAdmitted) {
                    resize(own + bytes);
                }
                return isAdmitted;
            },
            grow: bytes => {
                if (!isReleased) {
                    resize(own + bytes);
                }
            },
            release: () => {
                resize(0);
                isReleased = true;
            },
        };
    }

    private isSmall(bytes: number): boolean {
        return bytes <= this.options.maxSmallBytes;
    }

    private count(bytes: number, sign: 1 | -1): void {
        if (this.isSmall(bytes)) {
            this.smallBytes += sign * bytes;
        }
        else {
            this.largeBytes += sign * bytes;
            this.largeCount += sign;
        }
    }

    private hasRoom(own: number, bytes: number): boolean {
        const { maxBytes, reservedBytes } = this.options;
        if (this.isSmall(own + bytes)) {
            return this.heldBytes + bytes <= maxBytes || this.smallBytes + bytes <= reservedBytes;
        }
        const others = this.isSmall(own) ? this.largeCount : this.largeCount - 1;
        return others === 0 || this.heldBytes + bytes <= maxBytes - reservedBytes;
    }
}
