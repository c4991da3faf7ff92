/** Simulates the target behind an agent of the soak `requests`. */

import type { AdmitEvent } from "@dandelionbank/admit-attempts";
import type { AttemptFrame } from "@dandelionbank/types";
import { createTextDigest } from "./text_digest.ts";
import { createAnswerParts, type Operation, type World } from "./world.ts";

export const LOAD = { inFlight: 0, queued: 0, cachedTokens: 0 };

/**
 * Probabilities that a target fails a call before it starts, fails it midway,
 * or stalls. The last two are divided by 5 at each part of an answer.
 */
const FAIL_BEFORE_START_PROBABILITY = 0.03;
const FAIL_MIDWAY_PROBABILITY = 0.03;
const STALL_PROBABILITY = 0.04;
const STALL_DURATION_MS = 2_500;

/** A frame without the ID of the attempt that receives it. */
export type FrameBody = AttemptFrame extends infer Frame
  ? Frame extends AttemptFrame ? Omit<Frame, "attemptId"> : never
  : never;

/** The operation of an attempt, and the key or request that it belongs to. */
export interface AttemptWork {
  readonly operationId: string;
  readonly scope: string;
}

/** Name and callbacks of the agent in front of the target. */
export interface TargetCallsOptions {
  readonly name: string;
  readonly sendFrame: (attemptId: string, body: FrameBody) => void;
  readonly handleEvent: (event: AdmitEvent) => void;
}

/** A call on the target, its frames so far and the attempts that receive them. */
interface Call {
  readonly sentFrames: FrameBody[];
  readonly listeners: Set<string>;
  isOpen: boolean;
}

export class TargetCalls {
  readonly #world: World;
  readonly #options: TargetCallsOptions;
  readonly #calls = new Map<string, Call>();

  constructor(world: World, options: TargetCallsOptions) {
    this.#world = world;
    this.#options = options;
  }

  get isIdle(): boolean {
    return ![...this.#calls.values()].some(({ isOpen }) => isOpen);
  }

  sendHeartbeats(): void {
    for (const call of this.#calls.values()) {
      if (call.isOpen) this.#broadcastFrame(call, { type: "heartbeat" });
    }
  }

  /** Handles the loss of an attempt's connection. */
  removeListener(attemptId: string): void {
    for (const [answeredBy, call] of this.#calls) {
      if (!call.listeners.delete(attemptId)) continue;
      this.#options.handleEvent({
        type: "listenerDisconnected",
        attemptId,
        answeredBy,
      });
    }
  }

  evict(attemptId: string): void {
    this.#calls.delete(attemptId);
  }

  cancel(attemptId: string): void {
    this.#endCall(attemptId, createFailedBody("cancelled", true));
  }

  run(attemptId: string, work: AttemptWork | undefined): void {
    const operation = this.#world.operations.get(work?.operationId ?? "");
    if (operation === undefined || work === undefined) {
      return this.#world.reportViolation("runHasOperation", attemptId);
    }
    const call: Call = {
      sentFrames: [{ type: "admitted", answeredBy: attemptId }],
      listeners: new Set([attemptId]),
      isOpen: true,
    };
    this.#calls.set(attemptId, call);
    this.#broadcastFrame(call, call.sentFrames[0]!);
    this.#scheduleNextStep(() =>
      this.#execute({ attemptId, operation, scope: work.scope })
    );
  }

  #execute(
    run: { attemptId: string; operation: Operation; scope: string },
  ): void {
    const { attemptId, operation, scope } = run;
    const { random, plan: { targetsFail } } = this.#world;
    if (this.#calls.get(attemptId)?.isOpen !== true) return;
    if (targetsFail && random.chance(FAIL_BEFORE_START_PROBABILITY)) {
      this.#world.countFault("targetFailsBefore");
      return this.#endCall(attemptId, createFailedBody("targetFailed", false));
    }
    const execution = this.#world.recordExecution(operation, scope);
    if (operation.crashesTarget) return this.#crashTarget();
    const parts = createAnswerParts(operation, execution);
    const digest = createTextDigest();
    parts.forEach((part) => digest.add(part, "utf8"));
    const bodies: FrameBody[] = [
      { type: "head", status: 200, contentType: "t", encoding: "utf8" },
      ...parts.map((data, sequence) =>
        ({ type: "data", sequence, data }) as const
      ),
    ];
    const { lengthBytes } = digest;
    const end = { lengthBytes, digest: digest.finish(), load: LOAD };
    this.#stream(attemptId, [...bodies, { type: "end", ...end }]);
  }

  /** Crashes the target's process, which fails all of its calls. It restarts at once. */
  #crashTarget(): void {
    this.#world.countFault("targetCrashed");
    for (const attemptId of [...this.#calls.keys()]) {
      this.#endCall(attemptId, createFailedBody("targetDied", true));
    }
  }

  #stream(attemptId: string, bodies: readonly FrameBody[]): void {
    const [body, ...rest] = bodies;
    const call = this.#calls.get(attemptId);
    if (body === undefined || call?.isOpen !== true) return;
    const { random, plan: { targetsFail } } = this.#world;
    if (targetsFail && random.chance(FAIL_MIDWAY_PROBABILITY / 5)) {
      this.#world.countFault("targetFailsMidway");
      return this.#endCall(attemptId, createFailedBody("targetFailed", true));
    }
    if (body.type === "end") return this.#endCall(attemptId, body);
    call.sentFrames.push(body);
    this.#broadcastFrame(call, body);
    this.#scheduleNextStep(() => this.#stream(attemptId, rest));
  }

  #endCall(attemptId: string, body: FrameBody): void {
    const call = this.#calls.get(attemptId);
    if (call?.isOpen !== true) return;
    call.isOpen = false;
    call.sentFrames.push(body);
    this.#broadcastFrame(call, body);
    if (body.type === "end") {
      const answerBytes = body.lengthBytes;
      return this.#options.handleEvent({
        type: "runEnded",
        attemptId,
        answerBytes,
      });
    }
    const mayHaveRun = body.type !== "failed" || body.mayHaveRun;
    this.#calls.delete(attemptId);
    this.#options.handleEvent({ type: "runFailed", attemptId, mayHaveRun });
  }

  addListener(effect: { attemptId: string; answeredBy: string }): void {
    const { attemptId, answeredBy } = effect;
    const call = this.#calls.get(answeredBy);
    if (call === undefined) {
      return this.#world.reportViolation(
        "answerIsKept",
        `${attemptId} ${answeredBy}`,
      );
    }
    call.listeners.add(attemptId);
    for (const body of call.sentFrames) {
      this.#options.sendFrame(attemptId, body);
    }
  }

  #broadcastFrame(call: Call, body: FrameBody): void {
    for (const attemptId of call.listeners) {
      this.#options.sendFrame(attemptId, body);
    }
  }

  #scheduleNextStep(run: () => void): void {
    const { random, queue, plan: { targetsFail } } = this.#world;
    const isStalling = targetsFail && random.chance(STALL_PROBABILITY / 5);
    if (isStalling) this.#world.countFault("targetStalls");
    const { maxPartDelayMs } = this.#world;
    const delayMs = isStalling
      ? STALL_DURATION_MS
      : random.int(1, maxPartDelayMs);
    queue.startTimer(this.#options.name, { delayMs, run });
  }
}

function createFailedBody(code: string, mayHaveRun: boolean): FrameBody {
  return { type: "failed", code, mayHaveRun, load: LOAD };
}
