/**
 * A model engine as far as placement needs it: it advances in steps, each
 * step gives every running request a token and takes longer with more of them
 * and with more prompt tokens to read; a cached prefix needs little reading.
 */

const STEP_MS = 5;
const STEP_PER_REQUEST_MS = 0.25;
const READ_PER_TOKEN_MS = 0.02;
const CACHED_SHARE = 0.8;
const MAX_RUNNING = 32;
const MAX_QUEUED = 16;
const MAX_CACHED_PREFIXES = 12;
const LOAD_KEPT_MS = 5_000;

export const MEAN_OUTPUT_TOKENS = 120;
export const MEAN_PROMPT_TOKENS = 400;

/** Requests a second that one engine can end at its largest batch, uncached. */
export const ENGINE_CAPACITY = 1_000 /
  (MEAN_OUTPUT_TOKENS * (STEP_MS / MAX_RUNNING + STEP_PER_REQUEST_MS) +
    MEAN_PROMPT_TOKENS * READ_PER_TOKEN_MS);

export interface EngineRequest {
  readonly arrivedAtMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix: number;
  readonly onEnd: (nowMs: number) => void;
  tokens: number;
  firstTokenAtMs: number;
}

export class EngineModel {
  readonly #running: EngineRequest[] = [];
  readonly #queued: EngineRequest[] = [];
  /** Least lately used first. */
  readonly #cached = new Set<number>();
  readonly #loads: { readonly atMs: number; readonly load: number }[] = [];
  readonly #runAt: (atMs: number, run: () => void) => void;
  #stepping = false;

  constructor(runAt: (atMs: number, run: () => void) => void) {
    this.#runAt = runAt;
  }

  get load(): number {
    return this.#running.length + this.#queued.length;
  }

  /** The load as a report that is late by `lagMs` gives it. */
  loadBefore(lagMs: number, nowMs: number): number {
    return this.#loads.findLast(({ atMs }) => atMs <= nowMs - lagMs)?.load ?? 0;
  }

  /** Returns whether the request was taken. */
  offer(request: EngineRequest, nowMs: number): boolean {
    if (this.#queued.length >= MAX_QUEUED) return false;
    this.#queued.push(request);
    this.#noteLoad(nowMs);
    if (!this.#stepping) this.#beginStep(nowMs);
    return true;
  }

  #beginStep(nowMs: number): void {
    let readMs = 0;
    while (this.#running.length < MAX_RUNNING && this.#queued.length > 0) {
      const request = this.#queued.shift()!;
      readMs += this.#readPrompt(request);
      this.#running.push(request);
    }
    this.#stepping = this.#running.length > 0;
    if (!this.#stepping) return;
    const lengthMs = STEP_MS + readMs +
      STEP_PER_REQUEST_MS * this.#running.length;
    this.#runAt(nowMs + lengthMs, () => this.#endStep(nowMs + lengthMs));
  }

  #endStep(nowMs: number): void {
    for (let at = this.#running.length - 1; at >= 0; at--) {
      const request = this.#running[at]!;
      request.tokens += 1;
      if (request.tokens === 1) request.firstTokenAtMs = nowMs;
      if (request.tokens < request.outputTokens) continue;
      this.#running.splice(at, 1);
      this.#noteLoad(nowMs);
      request.onEnd(nowMs);
    }
    this.#beginStep(nowMs);
  }

  #readPrompt({ prefix, promptTokens }: EngineRequest): number {
    const isCached = this.#cached.delete(prefix);
    this.#cached.add(prefix);
    if (this.#cached.size > MAX_CACHED_PREFIXES) {
      this.#cached.delete(this.#cached.values().next().value!);
    }
    const share = isCached ? 1 - CACHED_SHARE : 1;
    return promptTokens * share * READ_PER_TOKEN_MS;
  }

  #noteLoad(nowMs: number): void {
    this.#loads.push({ atMs: nowMs, load: this.load });
    while (this.#loads[0]!.atMs < nowMs - LOAD_KEPT_MS) this.#loads.shift();
  }
}
