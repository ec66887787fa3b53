/** Makes the compiler check that all cases of a union are handled. */
export const assertNever = (value: never): never => {
  throw new Error(`unhandled value ${JSON.stringify(value)}`)
}
