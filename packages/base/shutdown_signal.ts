import type { Milliseconds } from "./milliseconds.ts";

/** Emits the signals that it receives, as `process` does. */
type SignalSource = {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
};

type ShutdownSignalOptions = {
  /** Signals that ask for a shutdown. */
  readonly signals: readonly NodeJS.Signals[];
  /** Reads the monotonic clock. */
  readonly now: () => Milliseconds;
};

/**
 * The first signal that asks a process to shut down. It is remembered, so that
 * a process that is still starting can shut down as soon as it has started.
 * Later signals have no effect.
 *
 * @example
 * const shutdown = new ShutdownSignal(process, { signals: ["SIGTERM"], now });
 * const server = await start();
 * await server.stop(await shutdown.received);
 *
 * @public
 */
export class ShutdownSignal {
  /** Resolves with the monotonic time at which the signal was received. */
  readonly received: Promise<Milliseconds>;
  #receivedAt: Milliseconds | undefined;

  constructor(source: SignalSource, { signals, now }: ShutdownSignalOptions) {
    this.received = new Promise((resolve) => {
      const onSignal = () => {
        this.#receivedAt ??= now();
        resolve(this.#receivedAt);
      };
      for (const signal of signals) {
        source.on(signal, onSignal);
      }
    });
  }

  /** Whether a signal was received. */
  get isReceived(): boolean {
    return this.#receivedAt !== undefined;
  }
}
