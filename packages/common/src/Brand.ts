declare const brandName: unique symbol

/** A primitive that the compiler keeps apart from others of the same shape. */
export type Brand<Base extends string | number, Name extends string> = Base & { readonly [brandName]: Name }

/**
 * Marks a plain value as a branded one. The caller vouches for its meaning.
 *
 * @example
 * const id = brand<WorkspaceId>('canicas-norte')
 */
export const brand = <Branded extends string | number>(
  value: Branded extends string ? string : number
): Branded => value as unknown as Branded
