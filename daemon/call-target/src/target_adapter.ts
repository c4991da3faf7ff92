/** What an agent asks of its target. */

export interface TargetCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly priority: number;
  /** Passed on, so that the target may recognise a repeat itself. */
  readonly key?: string;
  readonly body: Uint8Array;
}

/** Receives the answer; exactly one of `onEnd` and `onFailure` comes last. */
export interface TargetSink {
  onHead(status: number, contentType: string): void;
  onData(chunk: Buffer): void;
  /** The target gave its whole answer. */
  onEnd(): void;
  onFailure(failure: TargetFailure): void;
}

export interface TargetFailure {
  readonly code: string;
  /** False only if the target cannot have begun the call. */
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
