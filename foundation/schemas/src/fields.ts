/**
 * Schemas of single fields. The message of each schema says what is expected,
 * so that an issue can be reported as "found …, expected …".
 */

import * as v from "valibot";

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/;
const URL_PATTERN = /^https?:\/\/[^\s/?#]+\/?$/;

export interface Bounds {
  readonly min: number;
  readonly max: number;
}

/** An integer between two inclusive bounds. */
export function integerBetween({ min, max }: Bounds) {
  const message = `a whole number from ${min} to ${max}`;
  return v.pipe(
    v.number(message),
    v.integer(message),
    v.minValue(min, message),
    v.maxValue(max, message),
  );
}

/** A number between two inclusive bounds. */
export function numberBetween({ min, max }: Bounds) {
  const message = `a number from ${min} to ${max}`;
  return v.pipe(
    v.number(message),
    v.minValue(min, message),
    v.maxValue(max, message),
  );
}

/** A name that is valid in the path of an object: letters, digits, `.`, `-` and `_`. */
export function nameField() {
  const message = "a name of 1 to 127 letters, digits, dots or dashes";
  return v.pipe(v.string(message), v.regex(NAME_PATTERN, message));
}

export function textField(maxLength: number) {
  const message = `a text of 1 to ${maxLength} characters`;
  return v.pipe(
    v.string(message),
    v.minLength(1, message),
    v.maxLength(maxLength, message),
  );
}

/** An HTTP or HTTPS URL without path and query, to which a connection can be opened. */
export function urlField() {
  const message = "a URL such as http://127.0.0.1:8080";
  return v.pipe(
    v.string(message),
    v.regex(URL_PATTERN, message),
    v.check(isOrigin, message),
  );
}

/** Checks by the parser that a connection pool uses, for example the port. */
function isOrigin(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const { pathname, username, password } = new URL(text);
  return pathname === "/" && username === "" && password === "";
}

/** The SHA-256 digest of a key in lower-case hexadecimal. */
export function digestField() {
  const message = "a SHA-256 digest of 64 lower-case hexadecimal digits";
  return v.pipe(v.string(message), v.regex(DIGEST_PATTERN, message));
}

export interface ListOptions {
  readonly maxLength: number;
}

/** A list without duplicates. */
export function listOf<Item extends v.GenericSchema>(
  item: Item,
  { maxLength }: ListOptions,
) {
  const message = `a list of at most ${maxLength} different items`;
  return v.pipe(
    v.array(item, message),
    v.maxLength(maxLength, message),
    v.check((items: v.InferOutput<Item>[]) => hasNoDuplicates(items), message),
  );
}

function hasNoDuplicates(items: readonly unknown[]): boolean {
  const texts = items.map((item) => JSON.stringify(item));
  return new Set(texts).size === texts.length;
}
