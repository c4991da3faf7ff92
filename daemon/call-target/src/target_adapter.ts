/** Interface between an agent and its target. */

export interface TargetCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly priority: number;
  /** Idempotency key, forwarded so that the target can detect a repeat itself. */
  readonly key?: string;
  readonly body: Uint8Array;
}

export interface TargetHead {
  readonly status: number;
  readonly contentType: string;
  /** `Retry-After` of an answer that turns the call away because of the load. */
  readonly retryAfter?: string;
}

/** Receives the answer. The last call is exactly one of `onEnd` and `onFailure`. */
export interface TargetSink {
  onHead(head: TargetHead): void;
  onData(chunk: Buffer): void;
  /** Called when the answer is complete. */
  onEnd(): void;
  onFailure(failure: TargetFailure): void;
}

export interface TargetFailure {
  readonly code: string;
  /** False only if the target cannot have started to run the call. */
  readonly mayHaveRun: boolean;
}

export interface RunningCall {
  cancel(): void;
  pause(): void;
  resume(): void;
}

export interface TargetAdapter {
  call(call: TargetCall, sink: TargetSink): RunningCall;
  close(): Promise<void>;
}
