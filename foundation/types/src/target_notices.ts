/** What a target announces about itself in the head of an answer. */

export interface TargetNotices {
  /** True if the target leaves and wants no new work. */
  readonly isLeaving: boolean;
  /** Requests a second that the target takes from all entries together. */
  readonly limitPerS: number | undefined;
  /** Set if the target refused the request and named a time to return. */
  readonly notBefore: NotBefore | undefined;
}

/** The time for which a target wants nothing from this entry. */
export interface NotBefore {
  /** Undefined if the target's value is no time. */
  readonly forMs: number | undefined;
  /** As the target sent it. */
  readonly value: string;
}
