/** Counts the frames and bytes on the peer links, without the overhead of WebSocket and TCP. */

/** Counters of one peer network. */
export class TrafficCounters {
    sentMessages = 0;
    sentBytes = 0;
    receivedMessages = 0;
    receivedBytes = 0;

    countSent(bytes: number): void {
        this.sentMessages++;
        this.sentBytes += bytes;
    }

    countReceived(bytes: number): void {
        this.receivedMessages++;
        this.receivedBytes += bytes;
    }
}
