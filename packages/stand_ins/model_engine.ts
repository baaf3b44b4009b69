import { createHash } from "node:crypto";
import { countTokens } from "./count_tokens.ts";
import type { EngineCounts } from "./engine_counts.ts";
import type { EngineJob } from "./engine_job.ts";
import type { EngineSettings } from "./engine_settings.ts";
import { TokenSource } from "./token_source.ts";

/** Schedules an action after a delay in ms; returns a function to cancel it. */
type Schedule = (action: () => void, delay: number) => () => void;

/** A generation that occupies a slot. */
type RunningJob = {
  readonly job: EngineJob;
  readonly source: TokenSource;
  remainingTokens: number;
  cancelTimer: () => void;
};

const CHARACTERS_PER_BLOCK = 256;
const MS_PER_SECOND = 1000;

/**
 * A simulated model engine with slots, a priority queue, a bounded prefix cache,
 * and prefill and decode times. The given function schedules its timers.
 *
 * @public
 */
export class ModelEngine {
  readonly counts: EngineCounts = {
    computed: 0,
    generated: 0,
    recomputed: 0,
    transferred: 0,
    requests: 0,
  };
  readonly #settings: EngineSettings;
  readonly #schedule: Schedule;
  readonly #running = new Map<string, RunningJob>();
  readonly #cache = new Set<string>();
  #waiting: EngineJob[] = [];

  constructor(settings: EngineSettings, schedule: Schedule) {
    this.#settings = settings;
    this.#schedule = schedule;
  }

  get running(): number {
    return this.#running.size;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  get kvUsedShare(): number {
    return Math.min(1, this.#cache.size / this.#settings.cacheBlocks);
  }

  submit(job: EngineJob): void {
    this.#waiting.push(job);
    this.#waiting.sort((remainingTokens, right) =>
      remainingTokens.priority - right.priority
    );
    this.#startNext();
  }

  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((job) => job.id !== id);
    const running = this.#running.get(id);
    if (running !== undefined) {
      running.cancelTimer();
      this.#running.delete(id);
      this.#startNext();
    }
  }

  #startNext(): void {
    while (this.#running.size < this.#settings.slots) {
      const job = this.#waiting.shift();
      if (job === undefined) {
        return;
      }
      this.#start(job);
    }
  }

  #start(job: EngineJob): void {
    const promptTokens = countTokens(job.prompt);
    const emittedTokens = countTokens(job.emitted);
    const cachedTokens = Math.floor(
      promptTokens * this.#lookUpPrefix(job.prompt),
    );
    const delay = this.#prefill(job, {
      prompt: promptTokens - cachedTokens,
      emitted: emittedTokens,
    });
    this.counts.requests += 1;
    job.onStart?.(
      job.kvTransfer ? 0 : promptTokens - cachedTokens + emittedTokens,
    );
    const running: RunningJob = {
      job,
      source: new TokenSource(job.text, this.#settings.salt),
      remainingTokens: job.maxTokens,
      cancelTimer: () => {},
    };
    this.#running.set(job.id, running);
    const step = () => this.#step(running, { promptTokens, cachedTokens });
    running.cancelTimer = this.#schedule(step, delay);
  }

  /** Counts the prefill tokens and returns the prefill time in ms. */
  #prefill(
    job: EngineJob,
    tokens: { prompt: number; emitted: number },
  ): number {
    if (job.kvTransfer) {
      const transferred = tokens.prompt + tokens.emitted;
      this.counts.transferred += transferred;
      return transferred / this.#settings.transferRate * MS_PER_SECOND;
    }
    this.counts.computed += tokens.prompt;
    this.counts.recomputed += tokens.emitted;
    const computed = tokens.prompt + tokens.emitted;
    return computed / this.#settings.prefillRate * MS_PER_SECOND;
  }

  #step(
    running: RunningJob,
    usage: { promptTokens: number; cachedTokens: number },
  ): void {
    const { job } = running;
    const text = running.remainingTokens > 0
      ? running.source.next()
      : undefined;
    if (text === undefined) {
      this.#running.delete(job.id);
      const tokens = job.maxTokens - running.remainingTokens;
      const reason = running.remainingTokens > 0 ? "stop" : "length";
      job.onEnd({ reason, tokens, ...usage });
      this.#startNext();
      return;
    }
    running.remainingTokens -= 1;
    this.counts.generated += 1;
    running.cancelTimer = this.#schedule(
      () => this.#step(running, usage),
      this.#decodeTime(),
    );
    job.onToken(text);
  }

  #decodeTime(): number {
    const { decodeInterval, batchSlowdown = 0, slots } = this.#settings;
    return decodeInterval * (1 + batchSlowdown * this.#running.size / slots);
  }

  /** Returns the cached share of a prompt and caches all of its blocks. */
  #lookUpPrefix(prompt: string): number {
    const blocks: string[] = [];
    let prefixHash = "";
    for (
      let start = 0;
      start + CHARACTERS_PER_BLOCK <= prompt.length;
      start += CHARACTERS_PER_BLOCK
    ) {
      const block = prompt.slice(start, start + CHARACTERS_PER_BLOCK);
      prefixHash = createHash("sha1").update(prefixHash).update(block).digest(
        "hex",
      );
      blocks.push(prefixHash);
    }
    let cached = 0;
    while (cached < blocks.length && this.#cache.has(blocks[cached]!)) {
      cached += 1;
    }
    for (const block of blocks) {
      this.#cache.delete(block);
      this.#cache.add(block);
    }
    for (const oldest of this.#cache) {
      if (this.#cache.size <= this.#settings.cacheBlocks) {
        break;
      }
      this.#cache.delete(oldest);
    }
    return blocks.length === 0 ? 0 : cached / blocks.length;
  }
}
