/** Schemas that convert the text of a flag or environment variable to a value. */

import {
  type Bounds,
  digestField,
  integerBetween,
  nameField,
  textField,
  urlField,
} from "@dandelionbank/schemas";
import * as v from "valibot";

const MIN_SECRET_LENGTH = 16;
const MAX_TEXT_LENGTH = 65_536;
const MAX_URLS = 64;

export function nameSetting() {
  return nameField();
}

export function digestSetting() {
  return digestField();
}

export function urlSetting() {
  return v.pipe(urlField(), v.transform(removeTrailingSlash));
}

/** A list of URLs separated by commas. */
export function urlListSetting() {
  const message = "URLs such as http://127.0.0.1:8080, separated by commas";
  return v.pipe(
    v.string(message),
    v.transform((text) => text.split(",").map((part) => part.trim())),
    v.array(urlSetting()),
    v.maxLength(MAX_URLS, `at most ${MAX_URLS} URLs`),
  );
}

export function textSetting() {
  return textField(MAX_TEXT_LENGTH);
}

export function secretSetting() {
  const message = `a text of at least ${MIN_SECRET_LENGTH} characters`;
  return v.pipe(v.string(message), v.minLength(MIN_SECRET_LENGTH, message));
}

export function integerSetting(bounds: Bounds) {
  return v.pipe(
    v.string(),
    v.transform(parseInteger),
    integerBetween(bounds),
  );
}

/** An integer number of milliseconds. */
export function durationSetting(bounds: Bounds) {
  return integerSetting(bounds);
}

export function booleanSetting() {
  return v.pipe(
    v.picklist(["true", "false"], "true or false"),
    v.transform((text) => text === "true"),
  );
}

export function choiceSetting<const Choice extends string>(
  choices: readonly Choice[],
) {
  return v.picklist(choices, choices.join(", "));
}

/** Returns a text that is not an integer unchanged, so that the problem shows it. */
function parseInteger(text: string): unknown {
  return /^-?\d{1,15}$/.test(text) ? Number(text) : text;
}

function removeTrailingSlash(url: string): string {
  return url.replace(/\/$/, "");
}
