# Installs the run-time libraries and the package under target/deps.
set -eu
mkdir -p target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf target/deps/citronrack
cp -R src/citronrack target/deps/citronrack
python3 -m compileall -q target/deps/citronrack
