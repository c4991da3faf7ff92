/**
 * Simulated engine with continuous batching. Each step generates one token for
 * every running request. A step takes longer with more running requests and
 * with more prompt tokens to prefill; a cached prefix reduces the prefill.
 */

const STEP_BASE_MS = 5;
const STEP_PER_REQUEST_MS = 0.25;
const PREFILL_PER_TOKEN_MS = 0.02;
const CACHED_PROMPT_RATIO = 0.8;
const MAX_RUNNING = 32;
const MAX_QUEUED = 16;
const MAX_CACHED_PREFIXES = 12;
const LOAD_HISTORY_MS = 5_000;

export const MEAN_OUTPUT_TOKENS = 120;
export const MEAN_PROMPT_TOKENS = 400;

/** Requests per second that an engine completes at full batch without caching. */
export const ENGINE_CAPACITY = 1_000 /
  (MEAN_OUTPUT_TOKENS * (STEP_BASE_MS / MAX_RUNNING + STEP_PER_REQUEST_MS) +
    MEAN_PROMPT_TOKENS * PREFILL_PER_TOKEN_MS);

export interface EngineRequest {
  readonly arrivedAtMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Identifies the prefix of the prompt; requests that share it can use its cache. */
  readonly prefix: number;
  readonly onEnd: (nowMs: number) => void;
  /** Number of tokens generated so far. */
  tokens: number;
  firstTokenAtMs: number;
}

export class EngineModel {
  readonly #running: EngineRequest[] = [];
  readonly #queued: EngineRequest[] = [];
  /** In order of use, least recently used first. */
  readonly #cachedPrefixes = new Set<number>();
  readonly #loadHistory: { readonly atMs: number; readonly load: number }[] =
    [];
  readonly #runAt: (atMs: number, run: () => void) => void;
  #isStepping = false;

  constructor(runAt: (atMs: number, run: () => void) => void) {
    this.#runAt = runAt;
  }

  get load(): number {
    return this.#running.length + this.#queued.length;
  }

  /** Returns the load as seen through reports that are `lagMs` old. */
  getDelayedLoad(lagMs: number, nowMs: number): number {
    return this.#loadHistory.findLast(({ atMs }) => atMs <= nowMs - lagMs)
      ?.load ?? 0;
  }

  /** Enqueues the request; returns `false` if the queue is full. */
  tryEnqueue(request: EngineRequest, nowMs: number): boolean {
    if (this.#queued.length >= MAX_QUEUED) return false;
    this.#queued.push(request);
    this.#recordLoad(nowMs);
    if (!this.#isStepping) this.#startStep(nowMs);
    return true;
  }

  #startStep(nowMs: number): void {
    let prefillMs = 0;
    while (this.#running.length < MAX_RUNNING && this.#queued.length > 0) {
      const request = this.#queued.shift()!;
      prefillMs += this.#computePrefillMs(request);
      this.#running.push(request);
    }
    this.#isStepping = this.#running.length > 0;
    if (!this.#isStepping) return;
    const stepMs = STEP_BASE_MS + prefillMs +
      STEP_PER_REQUEST_MS * this.#running.length;
    this.#runAt(nowMs + stepMs, () => this.#endStep(nowMs + stepMs));
  }

  #endStep(nowMs: number): void {
    for (let at = this.#running.length - 1; at >= 0; at--) {
      const request = this.#running[at]!;
      request.tokens += 1;
      if (request.tokens === 1) request.firstTokenAtMs = nowMs;
      if (request.tokens < request.outputTokens) continue;
      this.#running.splice(at, 1);
      this.#recordLoad(nowMs);
      request.onEnd(nowMs);
    }
    this.#startStep(nowMs);
  }

  #computePrefillMs({ prefix, promptTokens }: EngineRequest): number {
    const isCached = this.#cachedPrefixes.delete(prefix);
    this.#cachedPrefixes.add(prefix);
    if (this.#cachedPrefixes.size > MAX_CACHED_PREFIXES) {
      this.#cachedPrefixes.delete(this.#cachedPrefixes.values().next().value!);
    }
    const uncachedRatio = isCached ? 1 - CACHED_PROMPT_RATIO : 1;
    return promptTokens * uncachedRatio * PREFILL_PER_TOKEN_MS;
  }

  #recordLoad(nowMs: number): void {
    this.#loadHistory.push({ atMs: nowMs, load: this.load });
    while (this.#loadHistory[0]!.atMs < nowMs - LOAD_HISTORY_MS) {
      this.#loadHistory.shift();
    }
  }
}
