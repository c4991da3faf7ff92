/** Reports that entries exchange about prompt parts, and options. */

/** A prompt part in requests that a crash interrupted. */
export interface LostPart {
  readonly part: string;
  /** Interrupted requests with the part, at the reporting entry. */
  readonly requests: number;
  /** Position of the part in the prompt, from 0; the last one if it varies. */
  readonly depth: number;
}

/** A crash, with the prompt parts of the requests that it interrupted. */
export interface CrashReport {
  /** Identifies one run of the target. */
  readonly target: string;
  /** Time since the answers broke off. */
  readonly ageMs: number;
  /** Interrupted requests with prompt parts, at the reporting entry. */
  readonly requests: number;
  readonly parts: readonly LostPart[];
}

/** A prompt part on which a target has written an answer without crashing. */
export interface SurvivedPart {
  readonly part: string;
  readonly ageMs: number;
}

/** A prompt part whose requests are refused. */
export interface QuarantinedPart {
  readonly part: string;
  readonly remainingMs: number;
}

/** What an entry tells the others about prompt parts. */
export interface PromptReport {
  readonly crashes: readonly CrashReport[];
  /** Suspect parts that this entry has seen answered. */
  readonly survived: readonly SurvivedPart[];
  /** Number of prompts that this entry has seen answered since it started. */
  readonly survivedPrompts: number;
  readonly quarantined: readonly QuarantinedPart[];
}

export const EMPTY_PROMPT_REPORT: PromptReport = {
  crashes: [],
  survived: [],
  survivedPrompts: 0,
  quarantined: [],
};

/** A part that was found to crash targets. */
export interface Culprit {
  readonly part: string;
  /** Targets that crashed on it since it was last answered. */
  readonly targets: readonly string[];
  /** Requests with the part that these crashes interrupted. */
  readonly requests: number;
}

export interface PromptQuarantineOptions {
  /** Name of this entry; other entries report under theirs. */
  readonly entry: string;
  /** How long requests with a culprit are refused. */
  readonly quarantineMs: number;
  /** Time within which all entries have reported a crash. */
  readonly settleMs: number;
  /** How long a crash counts as evidence. */
  readonly retentionMs: number;
  /** Maximum number of parts whose arrivals and latest answer are remembered. */
  readonly maxParts: number;
  /** Maximum number of crashes that are remembered. */
  readonly maxCrashes: number;
}
